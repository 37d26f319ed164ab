/** Constructors of the errors that at-most-once execution returns. */
import type {OnceError} from './once-registry.js';

/** Suggested delay before a retry with the same key. */
const RETRY_AFTER_MS = 1000;

export function notRunError(message: string): OnceError {
  return {kind: 'not-run', message, retryAfterMs: RETRY_AFTER_MS};
}

export function storeUnavailableError(message: string): OnceError {
  return {kind: 'store-unavailable', message, retryAfterMs: RETRY_AFTER_MS};
}

export function unknownOutcomeError(message: string): OnceError {
  return {kind: 'unknown', message};
}

export function responseGoneError(): OnceError {
  return {kind: 'answer-gone', message: 'the answer is no longer kept'};
}

export function inProgressError(): OnceError {
  const message = 'the request runs and did not end before the deadline';
  return {kind: 'in-progress', message, retryAfterMs: RETRY_AFTER_MS};
}
