/** How an attempt at a backend server ended. */
import type {StoredAnswer} from '@fireflytrack/once';

export type AttemptResult =
  /** A whole answer that passed the checks and was not sent on yet. */
  | {kind: 'held'; answer: StoredAnswer}
  /** A whole answer that went to the caller as it arrived. */
  | {kind: 'streamed'; status: number}
  /** The caller's connection was broken after a part of the answer. */
  | {kind: 'broken'; reason: string; byCaller: boolean}
  /** The server stated that it did not run the request. */
  | {kind: 'declined'; draining: boolean; retryAfterMs: number | undefined}
  | {
      kind: 'failed';
      /** False: certain that the server got no byte of it. */
      mayHaveRun: boolean;
      cause:
        | 'connect'
        | 'connection'
        | 'deadline'
        | 'invalid'
        | 'cancelled'
        /** The caller's own body made it fail. */
        | 'caller';
      reason: string;
    };
