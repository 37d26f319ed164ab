/** A token bucket on the monotonic clock of the runtime. */

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

  /** Takes `tokens` if the bucket holds as many. */
  tryTake(tokens: number): boolean {
    this.refill();
    if (this.tokens < tokens) return false;
    this.tokens -= tokens;
    return true;
  }

  levelTokens(): number {
    this.refill();
    return this.tokens;
  }

  /** Time until the bucket holds `tokens`; infinite if it never will. */
  waitMs(tokens: number): number {
    this.refill();
    if (this.tokens >= tokens) return 0;
    if (tokens > this.capacityTokens) return Infinity;
    return ((tokens - this.tokens) / this.ratePerSecond) * 1000;
  }

  private refill(): void {
    const nowMs = performance.now();
    const grown = ((nowMs - this.updatedAtMs) / 1000) * this.ratePerSecond;
    this.tokens = Math.min(this.capacityTokens, this.tokens + grown);
    this.updatedAtMs = nowMs;
  }
}
