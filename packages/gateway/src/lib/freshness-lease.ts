/**
 * The authority of a process to act on keys and routes: it lasts for a bounded
 * time after the store was last seen to confirm them.
 *
 * A suspended process may find that its monotonic clock stood still, and a step
 * of the time of day moves only that one; the larger advance of both counts.
 */

export interface ClockReading {
  monotonicMs: number;
  wallMs: number;
}

export function readClocks(): ClockReading {
  return {monotonicMs: performance.now(), wallMs: Date.now()};
}

export class FreshnessLease {
  private confirmed: ClockReading | undefined;
  private readonly waiters = new Set<() => void>();

  static create(): FreshnessLease {
    return new FreshnessLease();
  }

  /**
   * Records that a read which was sent at `sentAt` told the state of the store
   * `offsetMs` later.
   */
  confirm(sentAt: ClockReading, offsetMs: number): void {
    const {confirmed} = this;
    const monotonicMs = sentAt.monotonicMs + offsetMs;
    if (confirmed && monotonicMs < confirmed.monotonicMs) return;
    this.confirmed = {monotonicMs, wallMs: sentAt.wallMs + offsetMs};
    for (const wake of [...this.waiters]) wake();
  }

  ageMs(): number {
    const {confirmed} = this;
    if (!confirmed) return Infinity;
    const now = readClocks();
    const monotonicAgeMs = now.monotonicMs - confirmed.monotonicMs;
    const wallAgeMs = now.wallMs - confirmed.wallMs;
    return Math.max(monotonicAgeMs, wallAgeMs, 0);
  }

  /** Waits until the age is at most `maxAgeMs`; false after `waitMs`. */
  waitForAge(maxAgeMs: number, waitMs: number): Promise<boolean> {
    if (this.ageMs() <= maxAgeMs) return Promise.resolve(true);
    return new Promise(resolve => {
      const finish = (fresh: boolean) => {
        clearTimeout(timer);
        this.waiters.delete(check);
        resolve(fresh);
      };
      const check = () => {
        if (this.ageMs() <= maxAgeMs) finish(true);
      };
      const timer = setTimeout(() => finish(false), waitMs);
      this.waiters.add(check);
    });
  }
}
