/** The gradual increase of a server's weight after it enters the rotation. */

export interface Ramp {
  startedAtMs: number;
  /**
   * `new`: new to this instance, or reported itself as cold; slow responses are
   * expected, so only faults are tested. `readmitted`: tested with halved
   * thresholds.
   */
  kind: 'new' | 'readmitted';
}

export const RAMP_MS = 10_000;
const INITIAL_WEIGHT = 0.1;

/** The weight, from 0.1 to 1; 1 without a ramp. */
export function rampWeight(ramp: Ramp | undefined, nowMs: number): number {
  if (!ramp) return 1;
  const progress = (nowMs - ramp.startedAtMs) / RAMP_MS;
  return Math.min(1, INITIAL_WEIGHT + (1 - INITIAL_WEIGHT) * progress);
}
