/** Error responses that the gateway itself produces. */

export type RejectionCode =
  | 'bad-request'
  | 'key-unknown'
  | 'route-unknown'
  | 'body-too-large'
  | 'body-too-slow'
  | 'headers-too-large'
  | 'over-rate'
  | 'not-run'
  | 'not-fresh'
  | 'outcome-unknown'
  | 'deadline-passed';

export interface Rejection {
  code: RejectionCode;
  reason: string;
  /**
   * Delay after which the caller may retry; set only when the request is
   * guaranteed not to have run.
   */
  retryAfterMs?: number;
}

export const DEFAULT_RETRY_AFTER_MS = 500;

export const REJECTION_STATUS: Record<RejectionCode, number> = {
  'bad-request': 400,
  'key-unknown': 401,
  'route-unknown': 404,
  'body-too-slow': 408,
  'body-too-large': 413,
  'over-rate': 429,
  'headers-too-large': 431,
  'outcome-unknown': 502,
  'not-run': 503,
  'not-fresh': 503,
  'deadline-passed': 504,
};
