/** At-most-once execution of requests that carry an idempotency key. */
import type {Result} from '@fireflytrack/result';

/** A complete response of a backend server. */
export interface StoredAnswer {
  status: number;
  /** Names in lower case. */
  headers: Record<string, string>;
  body: Uint8Array;
}

export interface OnceRequest {
  teamName: string;
  idempotencyKey: string;
  /**
   * Digest of method, path and body; a retry with the same key must match it.
   */
  requestDigest: string;
  deadlineMs: number;
}

export type DispatchOutcome =
  | {kind: 'answered'; answer: StoredAnswer}
  /** No backend server ran the request. */
  | {kind: 'not-run'; reason: string; retryAfterMs?: number}
  /** A backend server may have run it. */
  | {kind: 'unknown'; reason: string};

export interface OnceError {
  /**
   * `not-run`, `store-unavailable`, `key-reused` and `key-expired`: this call
   * did not run the request. `unknown`: it may have run. `answer-gone`: it ran,
   * and its response is not stored. `in-progress`: another call is running it
   * and did not finish before the deadline.
   */
  kind:
    | 'not-run'
    | 'unknown'
    | 'store-unavailable'
    | 'key-reused'
    | 'key-expired'
    | 'answer-gone'
    | 'in-progress';
  message: string;
  retryAfterMs?: number;
}

export interface OnceRegistry {
  /**
   * Calls `dispatch` at most once for each team and idempotency key, and
   * returns its response, or the stored one of an earlier call.
   */
  run(
    request: OnceRequest,
    dispatch: () => Promise<DispatchOutcome>,
  ): Promise<Result<StoredAnswer, OnceError>>;
}
