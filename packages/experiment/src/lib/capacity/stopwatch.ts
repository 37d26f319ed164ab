/** Measures the run time and the retained memory of a function. */

const MICROSECONDS_PER_NANOSECOND = 0.001;
const MIN_DURATION_MS = 200;
const MIN_ROUNDS = 3;

/** Mean elapsed time of `action` in microseconds, after one warm-up call. */
export function meanUs(action: () => void): number {
  action();
  const startedAtNs = process.hrtime.bigint();
  const minDurationNs = BigInt(MIN_DURATION_MS * 1_000_000);
  let rounds = 0;
  let elapsedNs = 0n;
  while (rounds < MIN_ROUNDS || elapsedNs < minDurationNs) {
    action();
    rounds += 1;
    elapsedNs = process.hrtime.bigint() - startedAtNs;
  }
  return (Number(elapsedNs) * MICROSECONDS_PER_NANOSECOND) / rounds;
}

/** Heap bytes that the value of `create` retains; needs --expose-gc. */
export function retainedBytes<T>(create: () => T): {value: T; bytes: number} {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const value = create();
  globalThis.gc?.();
  return {value, bytes: process.memoryUsage().heapUsed - before};
}
