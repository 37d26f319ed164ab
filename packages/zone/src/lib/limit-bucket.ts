/**
 * Counts the requests that are granted to one backend server, so that no span of
 * four seconds exceeds what its limit allows.
 */
import {SlidingWindowCounter} from './sliding-window-counter.js';

/** The part of a limit that an instance may grant. */
export interface LimitShare {
  /** Fraction of the limit. */
  rateFraction: number;
  /** Requests that may be granted at once after an idle period. */
  maxTokens: number;
}

/** Operators check limits over any span of this length. */
export const LIMIT_WINDOW_MS = 4000;
const SLICES_PER_WINDOW = 10;
const MS_PER_SECOND = 1000;

export class LimitBucket {
  private tokenCount = 0;
  private filledAtMs = performance.now();
  private readonly granted = SlidingWindowCounter.create(
    LIMIT_WINDOW_MS / SLICES_PER_WINDOW,
    SLICES_PER_WINDOW + 1,
  );

  /** Starts empty: what was granted before it existed is not known. */
  static create(): LimitBucket {
    return new LimitBucket();
  }

  /**
   * Fills the bucket up to now; returns the requests that may be granted, which
   * may be a fraction.
   */
  refill(requestsPerSecond: number, share: LimitShare): number {
    const nowMs = performance.now();
    const ratePerMs = (requestsPerSecond * share.rateFraction) / MS_PER_SECOND;
    const gained = (nowMs - this.filledAtMs) * ratePerMs;
    this.tokenCount = Math.min(share.maxTokens, this.tokenCount + gained);
    this.filledAtMs = nowMs;
    // After the limit has fallen, the window holds the grants of the higher one.
    const maxInWindow = ratePerMs * LIMIT_WINDOW_MS + share.maxTokens;
    if (this.granted.sum() + 1 > maxInWindow) return 0;
    return this.tokenCount;
  }

  take(): void {
    this.tokenCount -= 1;
    this.granted.add();
  }
}
