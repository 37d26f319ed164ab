/** Simulated time for a fleet that runs in one process. */
import FakeTimers from '@sinonjs/fake-timers';

/** Excludes setImmediate and nextTick: faking them stops the test runner. */
const FAKED_GLOBALS = [
  'setTimeout',
  'clearTimeout',
  'setInterval',
  'clearInterval',
  'Date',
  'performance',
] as const;
/** Wall-clock time at the start of each run. */
const START_MS = Date.UTC(2026, 11, 4);

/** Resolves once all pending promise callbacks have run. */
function settlePromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/**
 * Fires timers one by one until `durationMs` has passed. The `tickAsync` of
 * fake-timers waits a real millisecond for each timer, which is too slow here.
 */
async function advance(
  clock: FakeTimers.Clock,
  durationMs: number,
): Promise<void> {
  let ended = false;
  clock.setTimeout(() => (ended = true), durationMs);
  await settlePromises();
  while (!ended) {
    clock.next();
    await settlePromises();
  }
}

/** Runs `body` on simulated time, which only the given `advance` moves. */
export async function withSimulatedTime<T>(
  body: (advance: (durationMs: number) => Promise<void>) => Promise<T>,
): Promise<T> {
  const clock = FakeTimers.install({now: START_MS, toFake: [...FAKED_GLOBALS]});
  try {
    return await body(durationMs => advance(clock, durationMs));
  } finally {
    clock.uninstall();
  }
}
