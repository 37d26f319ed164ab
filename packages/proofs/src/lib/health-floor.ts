/** P1: ejections never reduce the capacity in rotation below the floor. */
import fc from 'fast-check';
import {findFloorViolations} from './health-checkers.js';
import type {SelectorVariant} from './health-fake-instance.js';
import {faultScheduleArbitrary, scheduleFaults} from './health-faults.js';
import type {ScheduledFault} from './health-faults.js';
import {HealthFleet, TUNISIA_FLEET} from './health-fleet.js';
import type {SeededRun} from './seeds.js';

const FAULTS_WITHIN_MS = 8000;
const OBSERVATION_MS = 6000;
const WARM_UP_MS = 1000;
const RUNS_PER_SEED = 6;

/** Each run has its own fleet seed and fault schedule. */
export function floorProperty(
  variant: SelectorVariant = 'pooled',
): fc.IAsyncProperty<[number, ScheduledFault[]]> {
  return fc.asyncProperty(
    fc.nat(),
    faultScheduleArbitrary(FAULTS_WITHIN_MS),
    async (fleetSeed, faults) => {
      const options = {...TUNISIA_FLEET, instances: 9, seed: fleetSeed};
      await HealthFleet.run({...options, variant}, async fleet => {
        await fleet.advance(WARM_UP_MS);
        scheduleFaults(fleet, faults);
        await fleet.advance(FAULTS_WITHIN_MS + OBSERVATION_MS);
        const violations = findFloorViolations(
          fleet.history,
          TUNISIA_FLEET.capacityFloor,
        );
        if (violations.length > 0) throw new Error(violations[0]);
      });
    },
  );
}

/** Rejects on a violation, with the seed and the shrunk fault schedule. */
export async function checkFloor(
  seed: number,
  variant: SelectorVariant = 'pooled',
): Promise<void> {
  const endOnFailure = variant !== 'pooled';
  const settings = {seed, numRuns: RUNS_PER_SEED, endOnFailure};
  await fc.assert(floorProperty(variant), settings);
}

export const HEALTH_FLOOR_RUN: SeededRun = {
  name: 'P1: ejection keeps the capacity floor',
  run: seed => checkFloor(seed),
};
