/** Admission of requests under the rate limit of a team. */
import type {TeamPolicy} from '@fireflytrack/policy';

export type RateDecision =
  | {admitted: true}
  /**
   * `over-rate`: the team may retry after `retryAfterMs`. `no-leader`: no
   * leader that could grant the request is reachable.
   */
  | {
      admitted: false;
      reason: 'over-rate' | 'no-leader';
      retryAfterMs: number;
    };

export interface RateLimiter {
  /** Charges one request against the team's rate, or refuses it. */
  admit(team: TeamPolicy): Promise<RateDecision>;
  /** Refunds the charge for a request that was not run. */
  refund(team: TeamPolicy): void;
}
