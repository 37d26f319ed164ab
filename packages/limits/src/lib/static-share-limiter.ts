/**
 * The naive limiter: every instance enforces an equal share of each team's rate
 * and burst on its own.
 *
 * The shares never exceed the team's limit in total, but teams whose traffic is
 * distributed unevenly over the instances are refused although they are within
 * it. Serves as the baseline of the experiment.
 */
import type {ConfigurationSource} from '@fireflytrack/configuration';
import type {Admission, TeamLimiter} from './team-limiter.js';
import {TokenBucket} from './token-bucket.js';

export class StaticShareLimiter implements TeamLimiter {
  private readonly buckets = new Map<string, TokenBucket>();

  private constructor() {}

  static create(
    source: ConfigurationSource,
    instances: number,
  ): StaticShareLimiter {
    const limiter = new StaticShareLimiter();
    source.onChange(({configuration}) => {
      limiter.buckets.clear();
      for (const team of configuration.teams.values()) {
        const bucket = TokenBucket.create({
          ratePerSecond: team.ratePerSecond / instances,
          capacityTokens: Math.max(1, team.burstTokens / instances),
          initialTokens: Math.max(1, team.burstTokens / instances),
        });
        limiter.buckets.set(team.name, bucket);
      }
    });
    return limiter;
  }

  admit(teamName: string): Admission {
    const bucket = this.buckets.get(teamName);
    if (!bucket) return {admitted: false, retryAfterMs: 1000};
    if (bucket.tryTake(1)) return {admitted: true};
    return {admitted: false, retryAfterMs: Math.ceil(bucket.waitMs(1))};
  }
}
