/** P9: a draining server gets no new requests after a few seconds. */
import fc from 'fast-check';
import {findRequestsToDrainingServers} from './health-checkers.js';
import type {SelectorVariant} from './health-fake-instance.js';
import {faultScheduleArbitrary, scheduleFaults} from './health-faults.js';
import type {ScheduledFault} from './health-faults.js';
import {HealthFleet, TUNISIA_FLEET} from './health-fleet.js';
import type {SeededRun} from './seeds.js';

/** The "few seconds" of P9. */
export const DRAINING_GRACE_MS = 3000;

const FAULTS_WITHIN_MS = 6000;
const DRAIN_MS = 12_000;
const WARM_UP_MS = 1000;
const RUNS_PER_SEED = 6;

/** One to three servers start draining at a random moment, among other faults. */
export function drainingProperty(
  variant: SelectorVariant = 'pooled',
): fc.IAsyncProperty<[number, ScheduledFault[], number, number, number]> {
  return fc.asyncProperty(
    fc.nat(),
    faultScheduleArbitrary(FAULTS_WITHIN_MS, [
      'slow',
      'errors',
      'shed',
      'cut',
      'pause',
      'slow-link',
      'new-server',
    ]),
    fc.integer({min: 0, max: FAULTS_WITHIN_MS}),
    fc.nat({max: 11}),
    fc.integer({min: 1, max: 3}),
    async (fleetSeed, faults, atMs, server, servers) => {
      const durationMs = DRAIN_MS;
      const drainFault = {atMs, server, servers, instance: 0, durationMs};
      const options = {...TUNISIA_FLEET, instances: 9, seed: fleetSeed};
      await HealthFleet.run({...options, variant}, async fleet => {
        await fleet.advance(WARM_UP_MS);
        scheduleFaults(fleet, [...faults, {...drainFault, kind: 'drain'}]);
        await fleet.advance(FAULTS_WITHIN_MS + DRAIN_MS);
        const violations = findRequestsToDrainingServers(
          fleet.history,
          DRAINING_GRACE_MS,
        );
        if (violations.length > 0) throw new Error(violations[0]);
      });
    },
  );
}

/** Rejects on a violation, with the seed and the shrunk fault schedule. */
export async function checkDraining(
  seed: number,
  variant: SelectorVariant = 'pooled',
): Promise<void> {
  const endOnFailure = variant !== 'pooled';
  const settings = {seed, numRuns: RUNS_PER_SEED, endOnFailure};
  await fc.assert(drainingProperty(variant), settings);
}

export const HEALTH_DRAINING_RUN: SeededRun = {
  name: 'P9: a leaving server gets no new work',
  run: seed => checkDraining(seed),
};
