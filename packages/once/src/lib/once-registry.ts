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
  /** Digest of method, path and body: a reused key must carry the same request. */
  requestDigest: string;
  deadlineMs: number;
}

export type DispatchOutcome =
  | {kind: 'answered'; answer: StoredAnswer}
  /** Certain that no backend server ran the request. */
  | {kind: 'not-run'; reason: string; retryAfterMs?: number}
  /** A backend server may have run it. */
  | {kind: 'unknown'; reason: string};

export interface OnceError {
  /**
   * `not-run`: no server ran it because of this call. `unknown`: it may have
   * run. `store-unavailable`, `key-reused` and `key-expired`: not run by this
   * call. `answer-gone`: it ran and its answer is no longer kept.
   * `in-progress`: another call runs it and did not end before the deadline.
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
  /** Calls `dispatch` at most once for each team and idempotency key. */
  run(
    request: OnceRequest,
    dispatch: () => Promise<DispatchOutcome>,
  ): Promise<Result<StoredAnswer, OnceError>>;
}
