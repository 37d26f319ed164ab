/** Simulated time for a fleet in one process. */
import FakeTimers from '@sinonjs/fake-timers';
import type {Random} from './health-random.js';

export interface SimulatedClock {
  /** Runs all timers of the next `durationMs`. */
  advance(durationMs: number): Promise<void>;
}

// Pending promises, such as probes, run after each step.
const STEP_MS = 5;

/**
 * Runs `body` with timers, `performance.now` and `Math.random` replaced, so
 * that a seed gives the same run every time.
 */
export async function withSimulatedClock(
  random: Random,
  body: (clock: SimulatedClock) => Promise<void>,
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
  for (let doneMs = 0; doneMs < durationMs; doneMs += STEP_MS) {
    fake.tick(Math.min(STEP_MS, durationMs - doneMs));
    await Promise.resolve();
    await Promise.resolve();
  }
}
