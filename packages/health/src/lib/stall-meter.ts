/**
 * Notices that this instance itself stalled, by the lag of a short timer.
 *
 * Answers that waited for a stalled instance look slow or lost although the
 * server was fast, so the periods of a stall carry no evidence.
 */

export const STALL_CHECK_MS = 25;
const MAX_LAG_MS = 50;
// Answers that arrived during a stall are read just after the timers ran.
const CATCH_UP_MS = 50;

export class StallMeter {
  private checkedAtMs = performance.now();
  private stalledUntilMs = -Infinity;

  static create(): StallMeter {
    return new StallMeter();
  }

  /** To be called every STALL_CHECK_MS. */
  check(): void {
    const nowMs = performance.now();
    const lagMs = nowMs - this.checkedAtMs - STALL_CHECK_MS;
    if (lagMs > MAX_LAG_MS) this.stalledUntilMs = nowMs + CATCH_UP_MS;
    this.checkedAtMs = nowMs;
  }

  /** Whether a stall, or the catching up after one, touched the time since. */
  stalledSince(sinceMs: number): boolean {
    const nowMs = performance.now();
    const lagMs = nowMs - this.checkedAtMs - STALL_CHECK_MS;
    return lagMs > MAX_LAG_MS || this.stalledUntilMs > sinceMs;
  }
}
