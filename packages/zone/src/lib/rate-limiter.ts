/** Admission by the rate of a team. */
import type {TeamPolicy} from '@fireflytrack/policy';

export type RateDecision =
  | {admitted: true}
  /** `retryAfterMs` is when the team has room again. */
  | {admitted: false; retryAfterMs: number};

export interface RateLimiter {
  /** Takes one request of the team's rate. */
  admit(team: TeamPolicy): RateDecision | Promise<RateDecision>;
  /** Gives back what a request took that has not run. */
  giveBack(team: TeamPolicy): void;
}
