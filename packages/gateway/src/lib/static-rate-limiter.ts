/**
 * Admission by a fixed part of each team's rate: needs no message, and holds
 * whatever fails. Requests that arrive unevenly are refused although the team
 * as a whole is within its rate.
 */
import type {TeamPolicy} from '@fireflytrack/policy';
import type {RateDecision, RateLimiter} from './rate-limiter.js';

export interface StaticRateLimiterOptions {
  /** Most instances that may run at the same time. */
  maxInstances: number;
  windowMs: number;
  /** Share by which a rate may be passed in a window. */
  overrun: number;
  /** Requests by which it may be passed beside that. */
  slack: number;
}

interface Bucket {
  tokens: number;
  filledAtMs: number;
}

const MS_PER_SECOND = 1000;

export class StaticRateLimiter implements RateLimiter {
  private readonly buckets = new Map<string, Bucket>();

  private constructor(private readonly options: StaticRateLimiterOptions) {}

  static create(options: StaticRateLimiterOptions): StaticRateLimiter {
    return new StaticRateLimiter(options);
  }

  admit(team: TeamPolicy): RateDecision {
    if (team.ratePerSecond === 0) return {admitted: true};
    const bucket = this.fill(team);
    if (bucket.tokens >= 1) {
      bucket.tokens -= 1;
      return {admitted: true};
    }
    const retryAfterMs = (1 - bucket.tokens) / this.ratePerMs(team);
    return {admitted: false, retryAfterMs};
  }

  giveBack(team: TeamPolicy): void {
    const bucket = this.buckets.get(team.name);
    if (bucket) bucket.tokens = Math.min(bucket.tokens + 1, this.depth(team));
  }

  private fill(team: TeamPolicy): Bucket {
    const nowMs = performance.now();
    const depth = this.depth(team);
    let bucket = this.buckets.get(team.name);
    if (!bucket) {
      bucket = {tokens: depth, filledAtMs: nowMs};
      this.buckets.set(team.name, bucket);
    }
    const gained = (nowMs - bucket.filledAtMs) * this.ratePerMs(team);
    bucket.tokens = Math.min(depth, bucket.tokens + gained);
    bucket.filledAtMs = nowMs;
    return bucket;
  }

  private ratePerMs(team: TeamPolicy): number {
    return team.ratePerSecond / MS_PER_SECOND / this.options.maxInstances;
  }

  private depth(team: TeamPolicy): number {
    const {maxInstances, windowMs, overrun, slack} = this.options;
    const inWindow =
      (team.ratePerSecond * windowMs) / MS_PER_SECOND + team.burstTokens;
    const spare = inWindow * overrun + slack;
    return (team.burstTokens + spare) / maxInstances;
  }
}
