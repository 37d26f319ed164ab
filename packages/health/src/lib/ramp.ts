/** Growth of a server's weight after it enters the rotation. */

export interface Ramp {
  startedAtMs: number;
  /**
   * `new`: first seen here, or reported itself cold; slow responses are expected
   * and only faults are tested. `readmitted`: tested with halved thresholds.
   */
  kind: 'new' | 'readmitted';
}

export const RAMP_MS = 10_000;
const FIRST_WEIGHT = 0.1;

/** The weight, from 0.1 to 1. */
export function rampWeight(ramp: Ramp | undefined, nowMs: number): number {
  if (!ramp) return 1;
  const progress = (nowMs - ramp.startedAtMs) / RAMP_MS;
  return Math.min(1, FIRST_WEIGHT + (1 - FIRST_WEIGHT) * progress);
}
