/**
 * The properties P2, P4 and P11 as seeded runs of a fleet under random faults.
 * The soak test repeats `configurationRuns` with fresh seeds.
 */
import fc from 'fast-check';
import {
  checkUniqueVersions,
  checkInForce,
  checkInForceWithinLimit,
  checkVersionsOverRestarts,
  checkTeams,
  checkVersionsNeverDecrease,
  checkWithdrawals,
} from './configuration-checkers.js';
import {ConfigurationFleet} from './configuration-fleet.js';
import {createRealInstance} from './configuration-instance.js';
import type {InstanceFactory} from './configuration-instance.js';
import {
  CHANGE_STEPS,
  FAULT_STEPS,
  ScriptRunner,
  createScriptArbitrary,
} from './configuration-script.js';
import type {Step, StepKind} from './configuration-script.js';
import {FakeTime} from './fake-time.js';
import type {SeededRun} from './seeds.js';

export interface ConfigurationProperty {
  name: string;
  /** Kinds to choose from; a kind listed twice is twice as likely. */
  steps: readonly StepKind[];
  minInstances: number;
  maxInstances: number;
  maxSteps: number;
  /** Duration of a store outage between the two halves of the script. */
  outageMs?: number;
  probePeriodMs?: number;
  /** Returns one line per violation. */
  check(fleet: ConfigurationFleet): string[];
}

const WARM_UP_MS = 5000;
// Long enough for all faults to end and for the limits of P4 and of the fence.
const COOL_DOWN_MS = 22_000;

// Coarse, because a long outage has little but periodic messages.
const OUTAGE_STEP_MS = 50;
const SMALL_FLEET = {minInstances: 5, maxInstances: 9, maxSteps: 24};
const ALL_STEPS = [...CHANGE_STEPS, ...CHANGE_STEPS, ...FAULT_STEPS];

export const CONFIGURATION_PROPERTIES = {
  versions: {
    ...SMALL_FLEET,
    name: 'P11 versions never decrease',
    steps: [...ALL_STEPS, 'stale-reads'],
    check: fleet => checkVersionsNeverDecrease(fleet.history),
  },
  restarts: {
    ...SMALL_FLEET,
    name: 'P11 versions never decrease over restarts with stale reads',
    steps: ['apply', 'apply', 'race', 'restart', 'stale-reads', 'birth'],
    check: fleet => checkVersionsOverRestarts(fleet.history),
  },
  uniqueVersions: {
    ...SMALL_FLEET,
    name: 'P11 accepted changes are not overwritten',
    steps: ['apply', 'race', 'race', 'lost-answers', 'late-answers'],
    check: fleet => checkUniqueVersions(fleet.history),
  },
  inForce: {
    ...SMALL_FLEET,
    name: 'P11 in force means everywhere or fenced',
    steps: ALL_STEPS,
    check: fleet => checkInForce(fleet.history),
  },
  inForceWithinLimit: {
    ...SMALL_FLEET,
    name: 'P11 in force within 5 s without faults',
    steps: ['apply', 'race', 'issue', 'birth'],
    check: fleet => checkInForceWithinLimit(fleet.history),
  },
  withdrawals: {
    ...SMALL_FLEET,
    name: 'P4 withdrawn keys are refused within 5 s',
    steps: [
      ...ALL_STEPS,
      ...['withdraw', 'withdraw', 'withdraw', 'region-isolated'],
    ] as StepKind[],
    check: fleet => checkWithdrawals(fleet),
  },
  teams: {
    ...SMALL_FLEET,
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
    ...checkUniqueVersions(fleet.history),
    ...checkInForce(fleet.history),
    ...checkWithdrawals(fleet),
    ...checkTeams(fleet.history, fleet.keys),
  ];
}

/**
 * Runs one script on a fleet of instances that `factory` creates. Returns one
 * line per violation of the property.
 */
export async function runConfigurationScript(
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
    await time.advanceUntilSettled(runner.prepareFleet());
    await time.advance(WARM_UP_MS);
    const half = Math.floor(steps.length / 2);
    await runSteps(time, runner, steps.slice(0, half));
    if (property.outageMs)
      await startLongOutage(time, fleet, property.outageMs);
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
    runner.startStep(step);
    await time.advance(step.waitMs);
  }
}

/** Starts a store outage that lasts until the end of the script. */
async function startLongOutage(
  time: FakeTime,
  fleet: ConfigurationFleet,
  outageMs: number,
): Promise<void> {
  await time.advance(COOL_DOWN_MS);
  fleet.table.unavailable = fleet.objects.unavailable = true;
  await time.advance(outageMs, OUTAGE_STEP_MS);
}

export interface ConfigurationRunOptions {
  factory?: InstanceFactory;
  runsPerSeed?: number;
  /** Whether to shrink the script after a failure, which takes long. */
  shrink?: boolean;
}

/** Creates a seeded run whose rejection contains the seed and the script. */
export function createConfigurationRun(
  property: ConfigurationProperty,
  options: ConfigurationRunOptions = {},
): SeededRun {
  const {
    factory = createRealInstance,
    runsPerSeed = 2,
    shrink = false,
  } = options;
  const {name, minInstances, maxInstances, maxSteps} = property;
  const fcProperty = fc.asyncProperty(
    fc.integer({min: minInstances, max: maxInstances}),
    createScriptArbitrary(property.steps, maxSteps),
    async (instances, steps) => {
      const violations = await runConfigurationScript(
        property,
        instances,
        steps,
        factory,
      );
      if (violations.length > 0)
        throw new Error(violations.slice(0, 3).join('\n'));
    },
  );
  const parameters = {numRuns: runsPerSeed, endOnFailure: !shrink};
  return {name, run: seed => fc.assert(fcProperty, {...parameters, seed})};
}

export const configurationRuns: SeededRun[] = Object.values(
  CONFIGURATION_PROPERTIES,
).map(property => createConfigurationRun(property));
