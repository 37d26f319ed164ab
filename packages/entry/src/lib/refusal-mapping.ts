/** Maps errors of other packages and failed attempts to refusals. */
import type {OnceError} from '@fireflytrack/once';
import type {AttemptResult} from './attempt-result.js';
import type {Refusal, RefusalCode} from './refusal.js';

const DEFAULT_RETRY_AFTER_MS = 1000;

const ONCE_CODES: Record<OnceError['kind'], RefusalCode> = {
  'not-run': 'no_server',
  unknown: 'outcome_unknown',
  'store-unavailable': 'claim_store_unavailable',
  'key-reused': 'key_reused',
  'key-expired': 'key_expired',
  'answer-gone': 'answer_gone',
  'in-progress': 'in_progress',
};

export function toOnceRefusal(error: OnceError): Refusal {
  const {kind, message, retryAfterMs} = error;
  const code = ONCE_CODES[kind];
  return retryAfterMs === undefined
    ? {code, message}
    : {code, message, retryAfterMs};
}

/** Returns the refusal for an idempotent request whose last attempt failed. */
export function toAttemptRefusal(result: AttemptResult): Refusal {
  if (result.kind === 'declined') {
    return noServerRefusal(
      'the backend server declined it',
      result.retryAfterMs,
    );
  }
  if (result.kind === 'failed' && result.cause === 'caller') {
    // A part of the body may already have reached the server.
    return result.mayHaveRun
      ? outcomeUnknownRefusal(result.reason)
      : {code: 'bad_request', message: result.reason};
  }
  if (result.kind !== 'failed' || result.mayHaveRun) {
    return {code: 'server_failed', message: 'the backend server failed'};
  }
  if (result.cause === 'deadline') {
    return {code: 'deadline_exceeded', message: 'not sent before the deadline'};
  }
  return noServerRefusal('no server could be reached', undefined);
}

export function noServerRefusal(
  message: string,
  retryAfterMs: number | undefined,
): Refusal {
  const waitMs = retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  return {code: 'no_server', message, retryAfterMs: waitMs};
}

export function outcomeUnknownRefusal(message: string): Refusal {
  return {code: 'outcome_unknown', message};
}
