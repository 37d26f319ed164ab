/**
 * Detects stalls of this instance itself, by the lag of a short timer.
 *
 * Responses that waited for a stalled instance look slow or lost although the
 * server was fast, so periods with a stall yield no evidence.
 */

export const STALL_CHECK_MS = 25;
const MAX_LAG_MS = 50;
// Responses that arrived during a stall are read just after the timers ran.
const CATCH_UP_MS = 50;

export class StallDetector {
  private checkedAtMs = performance.now();
  private stalledUntilMs = -Infinity;

  static create(): StallDetector {
    return new StallDetector();
  }

  /** To be called every STALL_CHECK_MS. */
  check(): void {
    const nowMs = performance.now();
    const lagMs = nowMs - this.checkedAtMs - STALL_CHECK_MS;
    if (lagMs > MAX_LAG_MS) this.stalledUntilMs = nowMs + CATCH_UP_MS;
    this.checkedAtMs = nowMs;
  }

  /** Whether a stall or its catch-up overlaps the time since `sinceMs`. */
  stalledSince(sinceMs: number): boolean {
    const nowMs = performance.now();
    const lagMs = nowMs - this.checkedAtMs - STALL_CHECK_MS;
    return lagMs > MAX_LAG_MS || this.stalledUntilMs > sinceMs;
  }
}
