/** Simulated time for fleet runs in one process. */
import FakeTimers from '@sinonjs/fake-timers';

const realSetImmediate = setImmediate;
/** Wall clock at the start of each run. */
const START_MS = Date.UTC(2026, 11, 4);

/** Lets every promise callback run that is ready. */
function settlePromises(): Promise<void> {
  return new Promise(resolve => realSetImmediate(resolve));
}

/**
 * Fires timers one by one until `durationMs` has passed. fake-timers' own
 * tickAsync waits a real millisecond for each timer, which is too slow here.
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

/** Runs `body` on simulated time; `advance` moves it on. */
export async function withSimulatedTime<T>(
  body: (advance: (durationMs: number) => Promise<void>) => Promise<T>,
): Promise<T> {
  const clock = FakeTimers.install({now: START_MS});
  try {
    return await body(durationMs => advance(clock, durationMs));
  } finally {
    clock.uninstall();
  }
}
