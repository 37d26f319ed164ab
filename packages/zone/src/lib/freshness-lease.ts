/**
 * Tracks how long ago the store last confirmed the local copy of its data. A
 * process may act on keys and routes only while that age is bounded.
 */
import {elapsedSince} from '@fireflytrack/time';
import type {ClockReading} from '@fireflytrack/time';

export class FreshnessLease {
  private confirmed: ClockReading | undefined;
  private readonly waiters = new Set<() => void>();

  static create(): FreshnessLease {
    return new FreshnessLease();
  }

  /**
   * Records that a read sent at `sentAt` returned the state of the store as of
   * `offsetMs` after that. Older confirmations than the current are ignored.
   */
  confirm(sentAt: ClockReading, offsetMs: number): void {
    const {confirmed} = this;
    const monotonicMs = sentAt.monotonicMs + offsetMs;
    if (confirmed && monotonicMs < confirmed.monotonicMs) return;
    this.confirmed = {monotonicMs, wallMs: sentAt.wallMs + offsetMs};
    for (const notify of [...this.waiters]) notify();
  }

  /** Milliseconds since the last confirmation; Infinity before the first. */
  ageMs(): number {
    const {confirmed} = this;
    if (!confirmed) return Infinity;
    return elapsedSince(confirmed);
  }

  /**
   * Resolves with true once the age is at most `maxAgeMs`, or with false after
   * `waitMs`.
   */
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
