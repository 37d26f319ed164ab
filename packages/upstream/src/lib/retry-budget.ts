/** Limits the attempts beyond the first of a request. */

/**
 * Why another attempt is made: the previous one failed, or it is slow and may
 * still succeed.
 */
export type RetryCause = 'failure' | 'slowness';

/** Limits the retries for one service across the fleet. */
export interface RetryBudget {
  /** Counts a request for the service; the budget is a share of requests. */
  recordRequest(): void;
  /**
   * Takes one retry from the budget. Resolves with false if the budget is used
   * up; never rejects.
   */
  takeRetry(cause: RetryCause): Promise<boolean>;
}
