/** The at-most-once properties as seeded runs for CI and the soak test. */
import {TableOnceRegistry} from '@fireflytrack/once';
import fc from 'fast-check';
import {
  checkAtMostOnce,
  checkNoCallLostByStop,
  checkNotRun,
  checkOwnResponse,
} from './once-checkers.js';
import type {OnceChecker} from './once-checkers.js';
import {runOncePlan} from './once-fleet.js';
import type {OnceFleetOptions} from './once-fleet.js';
import {oncePlans} from './once-plan.js';
import {runSeeds} from './seeds.js';
import type {SeededRun} from './seeds.js';

const PLANS_PER_SEED = 100;

export const realFleetOptions: OnceFleetOptions = {
  createRegistry: options => TableOnceRegistry.create(options),
};

/** Creates a run that rejects when `checker` finds a violation in any plan. */
export function createOnceRun(
  name: string,
  checker: OnceChecker,
  fleet: OnceFleetOptions = realFleetOptions,
): SeededRun {
  const property = fc.asyncProperty(oncePlans, async plan => {
    const history = await runOncePlan(plan, fleet);
    const violations = checker(history);
    if (violations.length > 0)
      throw new Error(`${name}: ${violations.join('; ')}`);
  });
  return {name, run: seed => runSeeds(property, [seed], PLANS_PER_SEED)};
}

export const onceRuns: readonly SeededRun[] = [
  createOnceRun('P8 at most once', checkAtMostOnce),
  createOnceRun('P7 not run is true', checkNotRun),
  createOnceRun('P6 own whole answer of a key', checkOwnResponse),
  createOnceRun(
    'P10 a planned stop cuts no claimed call',
    checkNoCallLostByStop,
  ),
];

/** Checks all properties on the same histories, which keeps CI short. */
export const combinedOnceRun: SeededRun = createOnceRun(
  'P6, P7, P8 and P10 of calls with a key',
  history =>
    [
      checkAtMostOnce,
      checkNotRun,
      checkOwnResponse,
      checkNoCallLostByStop,
    ].flatMap(checker => checker(history)),
);
