/**
 * Elapsed time on two clocks: the monotonic clock may stop while the process is
 * suspended, and the wall clock may be set back.
 */

export interface ClockReading {
  monotonicMs: number;
  wallMs: number;
}

export function readClocks(): ClockReading {
  return {monotonicMs: performance.now(), wallMs: Date.now()};
}

/** Milliseconds since `start`: the larger advance of the two clocks. */
export function elapsedSince(start: ClockReading): number {
  const now = readClocks();
  const monotonicMs = now.monotonicMs - start.monotonicMs;
  return Math.max(monotonicMs, now.wallMs - start.wallMs, 0);
}
