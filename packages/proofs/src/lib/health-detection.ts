/** Checks the detection time of gray servers and the readmissions of flapping ones. */
import {
  computeDetectionMs,
  findUnjustifiedEjections,
  countReadmissionsByInstance,
} from './health-checkers.js';
import type {SelectorVariant} from './health-fake-instance.js';
import type {FakeServerFaults} from './health-fake-server.js';
import {HealthFleet, TUNISIA_FLEET} from './health-fleet.js';
import type {SeededRun} from './seeds.js';

/** Targets from section 1.2 of the design. */
export const DETECTION_TARGET_MS = 1000;
export const DETECTION_PERCENTILE = 0.99;

export const GRAY_FAULTS: Readonly<Record<string, Partial<FakeServerFaults>>> =
  {
    slow: {slowFactor: 10},
    wrong: {wrongShare: 0.3},
  };

const WARM_UP_MS = 3000;
// Shorter than the first backoff of 5 s, so that no request after a readmission
// counts as undetected.
const OBSERVATION_MS = 2500;
// Evidence stays in the window for a while after the fault has ended.
const EVIDENCE_LIFETIME_MS = 3000;

/**
 * Returns the time in ms from the start of a fault on one server until the last
 * request that any instance sends to it. Rejects on an unjustified ejection.
 */
export async function measureDetectionMs(
  seed: number,
  faults: Partial<FakeServerFaults>,
  variant: SelectorVariant = 'pooled',
): Promise<number> {
  let result = Infinity;
  await HealthFleet.run({...TUNISIA_FLEET, seed, variant}, async fleet => {
    // The fault starts at a random moment of a 200 ms period.
    await fleet.advance(WARM_UP_MS + Math.floor(fleet.random() * 200));
    const ids = fleet.serverIds();
    const serverId = ids[Math.floor(fleet.random() * ids.length)]!;
    const faultAtMs = performance.now();
    fleet.setFaults(serverId, faults);
    await fleet.advance(OBSERVATION_MS);
    result = computeDetectionMs(fleet.history, serverId, faultAtMs);
    const unjustified = findUnjustifiedEjections(
      fleet.history,
      EVIDENCE_LIFETIME_MS,
    );
    if (unjustified.length > 0)
      throw new Error(`seed ${seed}: ${unjustified[0]}`);
  });
  return result;
}

/** Rejects if the p99 of the detection times over all seeds misses the target. */
export async function checkDetection(
  seeds: readonly number[],
  faults: Partial<FakeServerFaults>,
  variant: SelectorVariant = 'pooled',
): Promise<void> {
  const timesMs: number[] = [];
  for (const seed of seeds) {
    timesMs.push(await measureDetectionMs(seed, faults, variant));
  }
  const sorted = [...timesMs].sort((a, b) => a - b);
  const rank = Math.ceil(DETECTION_PERCENTILE * sorted.length) - 1;
  const p99Ms = sorted[rank] ?? Infinity;
  if (p99Ms <= DETECTION_TARGET_MS) return;
  const worstSeed = seeds[timesMs.indexOf(sorted.at(-1)!)];
  throw new Error(
    `seed ${seeds[0]}: p99 of detection is ${Math.round(p99Ms)} ms ` +
      `over ${seeds.length} seeds, the worst is seed ${worstSeed}`,
  );
}

const FLAP_PHASE_MS = 3000;
const FLAP_COUNT = 15;
// Few enough that each instance sends several requests during every flap.
const FLAP_INSTANCES = 12;
const FIRST_BACKOFF_MS = 5000;

/**
 * Lets a server alternate between 3 s of failing and 3 s of being healthy.
 * Rejects if an instance readmits it more often than the backoff, which starts
 * at 5 s and doubles, allows in that time.
 */
export async function checkFlapping(
  seed: number,
  variant: SelectorVariant = 'pooled',
  flaps = FLAP_COUNT,
): Promise<void> {
  const options = {...TUNISIA_FLEET, seed, variant, instances: FLAP_INSTANCES};
  await HealthFleet.run(options, async fleet => {
    await fleet.advance(WARM_UP_MS);
    const serverId = fleet.serverIds()[0]!;
    for (let flap = 0; flap < flaps; flap += 1) {
      fleet.setFaults(serverId, {errorShare: 1});
      await fleet.advance(FLAP_PHASE_MS);
      fleet.setFaults(serverId, {errorShare: 0});
      await fleet.advance(FLAP_PHASE_MS);
    }
    const maxCount = maxReadmissions(2 * FLAP_PHASE_MS * flaps);
    for (const [instanceId, count] of countReadmissionsByInstance(
      fleet.history,
      serverId,
    )) {
      if (count <= maxCount) continue;
      throw new Error(
        `seed ${seed}: ${instanceId} readmitted ${count} times, at most ${maxCount}`,
      );
    }
  });
}

function maxReadmissions(durationMs: number): number {
  let count = 0;
  let waitMs = FIRST_BACKOFF_MS;
  for (let elapsedMs = waitMs; elapsedMs <= durationMs; elapsedMs += waitMs) {
    count += 1;
    waitMs *= 2;
  }
  return count;
}

const SEEDS_PER_RUN = 100;

function createDetectionRun(name: string): SeededRun {
  return {
    name: `detection of a ${name} server`,
    run: seed => {
      const seeds = Array.from({length: SEEDS_PER_RUN}, (_, i) => seed + i);
      return checkDetection(seeds, GRAY_FAULTS[name]!);
    },
  };
}

export const HEALTH_DETECTION_RUNS: readonly SeededRun[] = [
  createDetectionRun('slow'),
  createDetectionRun('wrong'),
  {name: 'readmissions of a flapping server', run: seed => checkFlapping(seed)},
];
