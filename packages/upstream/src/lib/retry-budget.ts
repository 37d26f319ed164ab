/** Permission for attempts beyond the first of a request. */

/**
 * Why a request is sent once more: its attempt failed, or it takes long and
 * may end by itself.
 */
export type RepeatCause = 'failure' | 'slowness';

/** Bounds the repeats at one service, summed over the fleet. */
export interface RepeatBudget {
  /** A request for the service arrived; repeats are a share of requests. */
  requestArrived(): void;
  /** Takes one repeat; false if the budget is used up. Never rejects. */
  take(cause: RepeatCause): Promise<boolean>;
}
