/** The properties of the limits; a seed reproduces a run of each. */
import fc from 'fast-check';
import {ALL_FAULT_KINDS} from './limits-faults.js';
import {measureWorstServedFraction} from './limits-fairness.js';
import {runSafety} from './limits-safety.js';
import {
  IN_RATE_TEAMS,
  runInRateLoad,
  wrongfulRefusalFraction,
} from './limits-service.js';
import {runSeeds} from './seeds.js';
import type {SeededRun} from './seeds.js';

// Targets from section 1.2 of the design.
const MAX_WRONGFUL_FRACTION = 0.001;
const MIN_WORST_SERVED = 0.99;

const RUNS_PER_SEED = 3;

/** P5 with generated fleet sizes, faults and loads; fast-check shrinks failures. */
export const limitsHoldUnderFaults: SeededRun = {
  name: 'limits-hold-under-faults',
  run: seed => {
    const optionsArbitrary = fc.record({
      seed: fc.integer({min: 1, max: 1_000_000_000}),
      instances: fc.integer({min: 3, max: 10}),
      faultKinds: fc.subarray([...ALL_FAULT_KINDS], {minLength: 1}),
      faultCount: fc.integer({min: 2, max: 30}),
      overload: fc.double({min: 0.5, max: 5, noNaN: true}),
    });
    const property = fc.asyncProperty(optionsArbitrary, options =>
      runSafety({...options, durationMs: 12_000}),
    );
    return runSeeds(property, [seed], RUNS_PER_SEED);
  },
};

/** P5 with 40 instances, as in the deployments, and all kinds of faults. */
export const limitsHoldWithFortyInstances: SeededRun = {
  name: 'limits-hold-with-forty-instances',
  run: seed =>
    runSafety({
      seed,
      instances: 40,
      durationMs: 6000,
      faultKinds: ALL_FAULT_KINDS,
      faultCount: 30,
      overload: 5,
    }),
};

/** P5 while the shares of ended instances are reclaimed. */
export const limitsHoldOverReclaim: SeededRun = {
  name: 'limits-hold-over-reclaim',
  run: seed =>
    runSafety({
      seed,
      instances: 6,
      durationMs: 50_000,
      faultKinds: ['crash', 'join', 'pause', 'lateWrites', 'lostAnswers'],
      faultCount: 20,
      overload: 5,
    }),
};

async function checkWrongfulRefusals(
  seed: number,
  instances: number,
  replaceEveryMs: number | undefined,
): Promise<void> {
  const counts = await runInRateLoad({
    seed,
    instances,
    teams: IN_RATE_TEAMS,
    durationMs: 15_000,
    demand: 0.8,
    skew: 0.8,
    ...(replaceEveryMs !== undefined && {replaceEveryMs}),
  });
  const fraction = wrongfulRefusalFraction(counts);
  if (fraction < MAX_WRONGFUL_FRACTION) return;
  const details = JSON.stringify([...counts]);
  throw new Error(`seed ${seed}: wrongful refusals ${fraction}: ${details}`);
}

/** Wrongful refusals with 80% of each team's requests at one instance. */
export const fewWrongfulRefusalsUnderSkew: SeededRun = {
  name: 'few-wrongful-refusals-under-skew',
  run: seed => checkWrongfulRefusals(seed, 20, undefined),
};

/** Wrongful refusals while an instance is replaced every 3 s. */
export const fewWrongfulRefusalsDuringReplacement: SeededRun = {
  name: 'few-wrongful-refusals-during-replacement',
  run: seed => checkWrongfulRefusals(seed, 10, 3000),
};

/** Service to the worst-served team while another sends 5x its rate. */
export const worstServedTeamIsServed: SeededRun = {
  name: 'worst-served-team-is-served',
  run: async seed => {
    const options = {seed, instances: 5, durationMs: 10_000, overload: 5};
    const worstServedFraction = await measureWorstServedFraction(options);
    if (worstServedFraction >= MIN_WORST_SERVED) return;
    throw new Error(
      `seed ${seed}: worst-served team gets ${worstServedFraction}`,
    );
  },
};

export const LIMITS_PROPERTIES: readonly SeededRun[] = [
  limitsHoldUnderFaults,
  limitsHoldWithFortyInstances,
  limitsHoldOverReclaim,
  fewWrongfulRefusalsUnderSkew,
  fewWrongfulRefusalsDuringReplacement,
  worstServedTeamIsServed,
];
