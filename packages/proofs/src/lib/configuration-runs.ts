/**
 * The properties P2, P4 and P11 as seeded runs of a fleet under random faults.
 * The soak tool repeats `configurationRuns` with fresh seeds.
 */
import fc from 'fast-check';
import {
  checkAcceptedOnce,
  checkInForce,
  checkInForceSoon,
  checkRestarts,
  checkTeams,
  checkVersionsNeverDecrease,
  checkWithdrawals,
} from './configuration-checkers.js';
import {ConfigurationFleet} from './configuration-fleet.js';
import {realInstance} from './configuration-instance.js';
import type {InstanceFactory} from './configuration-instance.js';
import {
  CHANGES,
  FAULTS,
  ScriptRunner,
  scriptOf,
} from './configuration-script.js';
import type {Step, StepKind} from './configuration-script.js';
import {FakeTime} from './fake-time.js';
import type {SeededRun} from './seeds.js';

export interface ConfigurationProperty {
  name: string;
  steps: readonly StepKind[];
  minInstances: number;
  maxInstances: number;
  maxSteps: number;
  /** Length of an outage of the store between the halves of the script. */
  outageMs?: number;
  probePeriodMs?: number;
  check(fleet: ConfigurationFleet): string[];
}

const WARM_UP_MS = 5000;
// All faults have ended and the limits of P4 and of the fence have passed.
const COOL_DOWN_MS = 22_000;

// Nothing but periodic messages happens in most of a long outage.
const OUTAGE_STEP_MS = 50;
const SMALL = {minInstances: 5, maxInstances: 9, maxSteps: 24};
const ALL_STEPS = [...CHANGES, ...CHANGES, ...FAULTS];

export const PROPERTIES = {
  versions: {
    ...SMALL,
    name: 'P11 versions never decrease',
    steps: [...ALL_STEPS, 'stale-reads'],
    check: fleet => checkVersionsNeverDecrease(fleet.history),
  },
  restarts: {
    ...SMALL,
    name: 'P11 versions never decrease over restarts with stale reads',
    steps: ['apply', 'apply', 'race', 'restart', 'stale-reads', 'birth'],
    check: fleet => checkRestarts(fleet.history),
  },
  acceptedOnce: {
    ...SMALL,
    name: 'P11 accepted changes are not overwritten',
    steps: ['apply', 'race', 'race', 'lost-answers', 'late-answers'],
    check: fleet => checkAcceptedOnce(fleet.history),
  },
  inForce: {
    ...SMALL,
    name: 'P11 in force means everywhere or fenced',
    steps: ALL_STEPS,
    check: fleet => checkInForce(fleet.history),
  },
  inForceSoon: {
    ...SMALL,
    name: 'P11 in force within 5 s without faults',
    steps: ['apply', 'race', 'issue', 'birth'],
    check: fleet => checkInForceSoon(fleet.history),
  },
  withdrawals: {
    ...SMALL,
    name: 'P4 withdrawn keys are refused within 5 s',
    steps: [
      ...ALL_STEPS,
      ...['withdraw', 'withdraw', 'withdraw', 'region-isolated'],
    ] as StepKind[],
    check: fleet => checkWithdrawals(fleet),
  },
  teams: {
    ...SMALL,
    name: 'P2 requests run only for the team of the key',
    steps: ALL_STEPS,
    check: fleet => checkTeams(fleet.history, fleet.keys),
  },
  fullFleet: {
    minInstances: 40,
    maxInstances: 40,
    maxSteps: 8,
    name: 'P2, P4 and P11 with 40 instances',
    steps: ALL_STEPS,
    check: fleet => checkAll(fleet),
  },
  longOutage: {
    minInstances: 5,
    maxInstances: 5,
    maxSteps: 24,
    outageMs: 2 * 60 * 60 * 1000,
    probePeriodMs: 1000,
    name: 'P2, P4 and P11 with an outage of two hours',
    steps: [
      ...['withdraw', 'birth', 'restart', 'apply', 'issue'],
      ...['region-cut', 'pause'],
    ] as StepKind[],
    check: fleet => checkAll(fleet),
  },
} satisfies Record<string, ConfigurationProperty>;

function checkAll(fleet: ConfigurationFleet): string[] {
  return [
    ...checkVersionsNeverDecrease(fleet.history),
    ...checkAcceptedOnce(fleet.history),
    ...checkInForce(fleet.history),
    ...checkWithdrawals(fleet),
    ...checkTeams(fleet.history, fleet.keys),
  ];
}

/** Runs one script on a fleet of instances that `factory` makes. */
export async function runScript(
  property: ConfigurationProperty,
  instances: number,
  steps: readonly Step[],
  factory: InstanceFactory,
): Promise<string[]> {
  const time = FakeTime.install();
  try {
    const fleet = ConfigurationFleet.create({
      instances,
      factory,
      probePeriodMs: property.probePeriodMs,
    });
    const runner = ScriptRunner.create(fleet);
    await time.advance(100);
    await time.until(runner.begin());
    await time.advance(WARM_UP_MS);
    const half = Math.floor(steps.length / 2);
    await runSteps(time, runner, steps.slice(0, half));
    if (property.outageMs) await longOutage(time, fleet, property.outageMs);
    await runSteps(time, runner, steps.slice(half));
    fleet.table.unavailable = fleet.objects.unavailable = false;
    await time.advance(COOL_DOWN_MS);
    fleet.stop();
    return property.check(fleet);
  } finally {
    time.uninstall();
  }
}

async function runSteps(
  time: FakeTime,
  runner: ScriptRunner,
  steps: readonly Step[],
): Promise<void> {
  for (const step of steps) {
    runner.run(step);
    await time.advance(step.waitMs);
  }
}

/** Begins an outage that lasts until the end of the script. */
async function longOutage(
  time: FakeTime,
  fleet: ConfigurationFleet,
  outageMs: number,
): Promise<void> {
  await time.advance(COOL_DOWN_MS);
  fleet.table.unavailable = fleet.objects.unavailable = true;
  await time.advance(outageMs, OUTAGE_STEP_MS);
}

export interface SeededRunOptions {
  factory?: InstanceFactory;
  runsPerSeed?: number;
  /** Whether to look for a smaller script after a failure, which takes long. */
  shrink?: boolean;
}

/** One property as a seeded run; a failure names the seed and the script. */
export function seededRun(
  property: ConfigurationProperty,
  options: SeededRunOptions = {},
): SeededRun {
  const {factory = realInstance, runsPerSeed = 2, shrink = false} = options;
  const {name, minInstances, maxInstances, maxSteps} = property;
  const holds = fc.asyncProperty(
    fc.integer({min: minInstances, max: maxInstances}),
    scriptOf(property.steps, maxSteps),
    async (instances, steps) => {
      const found = await runScript(property, instances, steps, factory);
      if (found.length > 0) throw new Error(found.slice(0, 3).join('\n'));
    },
  );
  const parameters = {numRuns: runsPerSeed, endOnFailure: !shrink};
  return {name, run: seed => fc.assert(holds, {...parameters, seed})};
}

export const configurationRuns: SeededRun[] = Object.values(PROPERTIES).map(
  property => seededRun(property),
);
