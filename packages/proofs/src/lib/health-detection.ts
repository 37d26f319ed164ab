/** Time to detect a gray server, and the number of readmissions of a flapping one. */
import {
  detectionMs,
  findUnjustifiedEjections,
  readmissionsByInstance,
} from './health-checkers.js';
import type {SelectorVariant} from './health-fake-instance.js';
import type {FakeServerFaults} from './health-fake-server.js';
import {HealthFleet, TUNISIA_FLEET} from './health-fleet.js';
import type {SeededRun} from './seeds.js';

/** Targets of section 1.2 of the design. */
export const DETECTION_TARGET_MS = 1000;
export const DETECTION_PERCENTILE = 0.99;

export const GRAY_FAULTS: Readonly<Record<string, Partial<FakeServerFaults>>> =
  {
    slow: {slowFactor: 10},
    wrong: {wrongShare: 0.3},
  };

const WARM_UP_MS = 3000;
// Shorter than the first backoff of 5 s, so that no request of a readmission
// counts as missed.
const WATCH_MS = 2500;
// Evidence of a fault stays in the window after it ended.
const EVIDENCE_LIFETIME_MS = 3000;

/** Time until no instance sends to a server that turns gray, for one seed. */
export async function measureDetectionMs(
  seed: number,
  faults: Partial<FakeServerFaults>,
  variant: SelectorVariant = 'pooled',
): Promise<number> {
  let result = Infinity;
  await HealthFleet.run({...TUNISIA_FLEET, seed, variant}, async fleet => {
    // The fault starts at any moment of a period.
    await fleet.advance(WARM_UP_MS + Math.floor(fleet.random() * 200));
    const ids = fleet.serverIds();
    const serverId = ids[Math.floor(fleet.random() * ids.length)]!;
    const faultAtMs = performance.now();
    fleet.setFaults(serverId, faults);
    await fleet.advance(WATCH_MS);
    result = detectionMs(fleet.history, serverId, faultAtMs);
    const wrongly = findUnjustifiedEjections(
      fleet.history,
      EVIDENCE_LIFETIME_MS,
    );
    if (wrongly.length > 0) throw new Error(`seed ${seed}: ${wrongly[0]}`);
  });
  return result;
}

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
  const reachedMs = sorted[rank] ?? Infinity;
  if (reachedMs <= DETECTION_TARGET_MS) return;
  const worst = seeds[timesMs.indexOf(sorted.at(-1)!)];
  throw new Error(
    `seed ${seeds[0]}: p99 of detection is ${Math.round(reachedMs)} ms ` +
      `over ${seeds.length} seeds, the worst is seed ${worst}`,
  );
}

const FLAP_MS = 3000;
const FLAPS = 15;
const FIRST_BACKOFF_MS = 5000;

/**
 * A server is slow for 3 s and well for 3 s, 15 times. With a backoff of 5 s
 * that doubles, no instance readmits it more often than the waits fit in.
 */
export async function checkFlapping(
  seed: number,
  variant: SelectorVariant = 'pooled',
): Promise<void> {
  const options = {...TUNISIA_FLEET, seed, variant, instances: 12};
  await HealthFleet.run(options, async fleet => {
    await fleet.advance(WARM_UP_MS);
    const serverId = fleet.serverIds()[0]!;
    for (let flap = 0; flap < FLAPS; flap += 1) {
      fleet.setFaults(serverId, {errorShare: 1});
      await fleet.advance(FLAP_MS);
      fleet.setFaults(serverId, {errorShare: 0});
      await fleet.advance(FLAP_MS);
    }
    const most = mostReadmissions(2 * FLAP_MS * FLAPS);
    for (const [instanceId, count] of readmissionsByInstance(
      fleet.history,
      serverId,
    )) {
      if (count <= most) continue;
      throw new Error(
        `seed ${seed}: ${instanceId} readmitted ${count} times, at most ${most}`,
      );
    }
  });
}

function mostReadmissions(durationMs: number): number {
  let count = 0;
  let waitMs = FIRST_BACKOFF_MS;
  for (let usedMs = waitMs; usedMs <= durationMs; usedMs += waitMs) {
    count += 1;
    waitMs *= 2;
  }
  return count;
}

const SEEDS_PER_RUN = 100;

function detectionRun(name: string): SeededRun {
  return {
    name: `detection of a ${name} server`,
    run: seed => {
      const seeds = Array.from({length: SEEDS_PER_RUN}, (_, i) => seed + i);
      return checkDetection(seeds, GRAY_FAULTS[name]!);
    },
  };
}

export const HEALTH_DETECTION_RUNS: readonly SeededRun[] = [
  detectionRun('slow'),
  detectionRun('wrong'),
  {name: 'readmissions of a flapping server', run: seed => checkFlapping(seed)},
];
