/** The at-most-once properties as runs that a soak test can repeat. */
import {TableOnceRegistry} from '@fireflytrack/once';
import fc from 'fast-check';
import {
  checkAtMostOnce,
  checkNoCutByStop,
  checkNotRun,
  checkOwnAnswer,
} from './once-checkers.js';
import type {OnceChecker} from './once-checkers.js';
import {runOncePlan} from './once-fleet.js';
import type {OnceFleetOptions} from './once-fleet.js';
import {oncePlans} from './once-plan.js';
import {runSeeds} from './seeds.js';
import type {SeededRun} from './seeds.js';

const PLANS_PER_SEED = 100;

export const realFleet: OnceFleetOptions = {
  createRegistry: options => TableOnceRegistry.create(options),
};

/** A run that fails when `checker` finds a violation in any plan. */
export function onceRun(
  name: string,
  checker: OnceChecker,
  fleet: OnceFleetOptions = realFleet,
): SeededRun {
  const property = fc.asyncProperty(oncePlans, async plan => {
    const history = await runOncePlan(plan, fleet);
    const found = checker(history);
    if (found.length > 0) throw new Error(`${name}: ${found.join('; ')}`);
  });
  return {name, run: seed => runSeeds(property, [seed], PLANS_PER_SEED)};
}

export const onceRuns: readonly SeededRun[] = [
  onceRun('P8 at most once', checkAtMostOnce),
  onceRun('P7 not run is true', checkNotRun),
  onceRun('P6 own whole answer of a key', checkOwnAnswer),
  onceRun('P10 a planned stop cuts no claimed call', checkNoCutByStop),
];

/** All properties checked on the same histories, for a short CI run. */
export const allOnceProperties: SeededRun = onceRun(
  'P6, P7, P8 and P10 of calls with a key',
  history =>
    [checkAtMostOnce, checkNotRun, checkOwnAnswer, checkNoCutByStop].flatMap(
      checker => checker(history),
    ),
);
