/** Admission by the rate of a team. */
import type {TeamPolicy} from '@fireflytrack/policy';

export type RateDecision =
  | {admitted: true}
  /**
   * `over-rate`: the team has room again after `retryAfterMs`. `no-leader`:
   * nobody who could grant the rate is reached from here.
   */
  | {
      admitted: false;
      reason: 'over-rate' | 'no-leader';
      retryAfterMs: number;
    };

export interface RateLimiter {
  /** Takes one request of the team's rate. */
  admit(team: TeamPolicy): Promise<RateDecision>;
  /** Gives back what a request took that has not run. */
  giveBack(team: TeamPolicy): void;
}
