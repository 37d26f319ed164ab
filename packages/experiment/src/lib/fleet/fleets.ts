/** The two fleets that every scenario compares. */
import {NAIVE_FLEET} from './fleet-variant.js';
import type {FleetVariant} from './fleet-variant.js';

export const FLEETS: {measured: FleetVariant; baseline: FleetVariant} = {
  measured: NAIVE_FLEET,
  baseline: NAIVE_FLEET,
};
