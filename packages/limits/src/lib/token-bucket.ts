/** A token bucket that is refilled by the monotonic clock. */

export interface TokenBucketOptions {
  ratePerSecond: number;
  capacityTokens: number;
  initialTokens: number;
}

export class TokenBucket {
  private tokens: number;
  private updatedAtMs: number;
  private ratePerSecond: number;
  private capacityTokens: number;

  private constructor(options: TokenBucketOptions) {
    this.ratePerSecond = options.ratePerSecond;
    this.capacityTokens = options.capacityTokens;
    this.tokens = options.initialTokens;
    this.updatedAtMs = performance.now();
  }

  static create(options: TokenBucketOptions): TokenBucket {
    return new TokenBucket(options);
  }

  /** Takes `tokens` if the bucket holds that many; returns whether it did. */
  tryTake(tokens: number): boolean {
    this.refill();
    if (this.tokens < tokens) return false;
    this.tokens -= tokens;
    return true;
  }

  /** Tokens in the bucket now. */
  levelTokens(): number {
    this.refill();
    return this.tokens;
  }

  /**
   * Milliseconds until the bucket holds `tokens`; infinite if they exceed its
   * capacity.
   */
  waitMs(tokens: number): number {
    this.refill();
    if (this.tokens >= tokens) return 0;
    if (tokens > this.capacityTokens) return Infinity;
    return ((tokens - this.tokens) / this.ratePerSecond) * 1000;
  }

  private refill(): void {
    const nowMs = performance.now();
    const earned = ((nowMs - this.updatedAtMs) / 1000) * this.ratePerSecond;
    this.tokens = Math.min(this.capacityTokens, this.tokens + earned);
    this.updatedAtMs = nowMs;
  }
}
