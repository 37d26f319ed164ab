/** Result of one attempt at a backend server. */
import type {StoredAnswer} from '@fireflytrack/once';

export type AttemptResult =
  /** A complete, verified response that is buffered and not yet sent. */
  | {kind: 'buffered'; response: StoredAnswer}
  /** A complete response that was streamed to the caller. */
  | {kind: 'streamed'; status: number}
  /**
   * The caller's connection was closed after a part of the response was sent.
   * `cancelled`: the attempt was cancelled here; the server did not fail.
   */
  | {kind: 'broken'; reason: string; cancelled: boolean}
  /** The server declined the request without running it. */
  | {kind: 'declined'; draining: boolean; retryAfterMs: number | undefined}
  | {
      kind: 'failed';
      /** False only if the server certainly received no byte of the request. */
      mayHaveRun: boolean;
      cause:
        | 'connect'
        | 'connection'
        | 'deadline'
        | 'invalid'
        | 'cancelled'
        /** The caller's request body broke off or was rejected. */
        | 'caller';
      reason: string;
    };
