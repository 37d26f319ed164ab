/** The two variants of the fleet that every scenario compares. */
import {FIREFLYTRACK_FLEET} from './fireflytrack-fleet.js';
import {NAIVE_FLEET} from './fleet-variant.js';
import type {FleetVariant} from './fleet-variant.js';

export const FLEETS: {measured: FleetVariant; baseline: FleetVariant} = {
  measured: FIREFLYTRACK_FLEET,
  baseline: NAIVE_FLEET,
};
