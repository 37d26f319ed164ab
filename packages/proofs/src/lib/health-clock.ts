/** Simulated time for a fleet that runs in one process. */
import FakeTimers from '@sinonjs/fake-timers';
import type {Random} from './health-random.js';

export interface FleetClock {
  /** Advances the time by `durationMs` and fires the timers that become due. */
  advance(durationMs: number): Promise<void>;
}

// Pending promises, such as probes, settle after each step.
const STEP_MS = 5;

/**
 * Runs `body` with timers, `performance.now` and `Math.random` replaced, so
 * that the same seed reproduces the same run.
 */
export async function runWithSimulatedClock(
  random: Random,
  body: (clock: FleetClock) => Promise<void>,
): Promise<void> {
  const fake = FakeTimers.install({
    now: 0,
    toFake: [
      'setTimeout',
      'clearTimeout',
      'setInterval',
      'clearInterval',
      'performance',
    ],
  });
  const realRandom = Math.random;
  Math.random = random;
  try {
    await body({advance: durationMs => advance(fake, durationMs)});
  } finally {
    Math.random = realRandom;
    fake.uninstall();
  }
}

async function advance(
  fake: FakeTimers.Clock,
  durationMs: number,
): Promise<void> {
  for (let advancedMs = 0; advancedMs < durationMs; advancedMs += STEP_MS) {
    fake.tick(Math.min(STEP_MS, durationMs - advancedMs));
    await Promise.resolve();
    await Promise.resolve();
  }
}
