/**
 * A single token bucket for the whole fleet, the reference for its rate limits.
 *
 * `forceTake` may make its balance negative; the debt is the number of tokens
 * taken beyond rate and burst.
 */
export class IdealBucket {
  private tokens: number;
  private updatedAtMs = performance.now();

  private constructor(
    private readonly ratePerSecond: number,
    private readonly burstTokens: number,
  ) {
    this.tokens = burstTokens;
  }

  static create(ratePerSecond: number, burstTokens: number): IdealBucket {
    return new IdealBucket(ratePerSecond, burstTokens);
  }

  tryTake(): boolean {
    this.refill();
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Takes a token even from an empty bucket; returns the debt in tokens. */
  forceTake(): number {
    this.refill();
    this.tokens -= 1;
    return Math.max(0, -this.tokens);
  }

  private refill(): void {
    const nowMs = performance.now();
    const refilledTokens =
      ((nowMs - this.updatedAtMs) / 1000) * this.ratePerSecond;
    this.tokens = Math.min(this.burstTokens, this.tokens + refilledTokens);
    this.updatedAtMs = nowMs;
  }
}
