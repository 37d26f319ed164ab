/**
 * Detects stalls of this process by the lag of a short timer.
 *
 * Responses that had to wait for a stalled process look slow or lost although
 * the server was fast, so the counts of periods with a stall are discarded.
 */

export const STALL_CHECK_MS = 25;
const MAX_LAG_MS = 50;
// Responses that arrived during a stall are read just after the timers fired.
const CATCH_UP_MS = 50;

export class StallDetector {
  private checkedAtMs = performance.now();
  private stalledUntilMs = -Infinity;

  static create(): StallDetector {
    return new StallDetector();
  }

  /** Must be called every STALL_CHECK_MS. */
  check(): void {
    const nowMs = performance.now();
    const lagMs = nowMs - this.checkedAtMs - STALL_CHECK_MS;
    if (lagMs > MAX_LAG_MS) this.stalledUntilMs = nowMs + CATCH_UP_MS;
    this.checkedAtMs = nowMs;
  }

  /** Whether a stall or the catch-up after it overlaps the time since then. */
  stalledSince(sinceMs: number): boolean {
    const nowMs = performance.now();
    const lagMs = nowMs - this.checkedAtMs - STALL_CHECK_MS;
    return lagMs > MAX_LAG_MS || this.stalledUntilMs > sinceMs;
  }
}
