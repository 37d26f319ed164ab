/** How a request to a service ended, and the attempts that were made. */
import type {AttemptResult} from './attempt.js';
import type {UpstreamResponse} from './upstream-request.js';

/** One attempt, as it is logged. */
export interface AttemptReport {
  server: string;
  result: AttemptResult['kind'] | 'given-up';
  reason?: string;
  tookMs: number;
}

export interface OutcomeReports {
  attempts: AttemptReport[];
  /** Servers that were not used because they are at their limits. */
  turnedAway: string[];
  /** Digest of a request that was suspected of crashing servers. */
  fingerprint?: string;
}

export type UpstreamOutcome = OutcomeReports &
  (
    | {kind: 'answered'; response: UpstreamResponse; serverId: string}
    /** The request has not run and will not run. */
    | {kind: 'not-run'; reason: string; retryAfterMs?: number}
    /** The request may have run; there is no response to forward. */
    | {kind: 'unknown'; reason: string}
    /** The deadline passed after the request was sent. */
    | {kind: 'deadline'}
    | {kind: 'abandoned'}
  );
