/**
 * Refusals: error responses that the proxy itself sends to callers.
 *
 * The outcome states whether a backend server ran the request. `not_run`: none
 * ran it because of this call. `unknown`: one may have run it. `ran`: it ran, but
 * its response is lost.
 */
import type {ServerResponse} from 'node:http';

export interface RefusalKind {
  status: number;
  outcome: 'not_run' | 'unknown' | 'ran';
}

export const REFUSALS = {
  bad_request: {status: 400, outcome: 'not_run'},
  key_ambiguous: {status: 400, outcome: 'not_run'},
  key_missing: {status: 401, outcome: 'not_run'},
  key_unknown: {status: 401, outcome: 'not_run'},
  key_withdrawn: {status: 401, outcome: 'not_run'},
  team_not_allowed: {status: 403, outcome: 'not_run'},
  route_unknown: {status: 404, outcome: 'not_run'},
  in_progress: {status: 409, outcome: 'unknown'},
  answer_gone: {status: 409, outcome: 'ran'},
  key_expired: {status: 410, outcome: 'not_run'},
  body_too_large: {status: 413, outcome: 'not_run'},
  key_reused: {status: 422, outcome: 'not_run'},
  rate_exceeded: {status: 429, outcome: 'not_run'},
  server_failed: {status: 502, outcome: 'unknown'},
  outcome_unknown: {status: 502, outcome: 'unknown'},
  queue_full: {status: 503, outcome: 'not_run'},
  no_server: {status: 503, outcome: 'not_run'},
  claim_store_unavailable: {status: 503, outcome: 'not_run'},
  not_fresh: {status: 503, outcome: 'not_run'},
  stopping: {status: 503, outcome: 'not_run'},
  deadline_exceeded: {status: 504, outcome: 'not_run'},
} as const satisfies Record<string, RefusalKind>;

export type RefusalCode = keyof typeof REFUSALS;

export interface Refusal {
  code: RefusalCode;
  message: string;
  retryAfterMs?: number;
}

export function sendRefusal(
  response: ServerResponse,
  requestId: string,
  refusal: Refusal,
): void {
  const {status, outcome} = REFUSALS[refusal.code];
  const body = JSON.stringify({...refusal, outcome, requestId});
  response.statusCode = status;
  response.setHeader('content-type', 'application/json');
  response.setHeader('content-length', Buffer.byteLength(body));
  response.setHeader('x-outcome', outcome);
  response.setHeader('x-request-id', requestId);
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.max(1, Math.ceil(refusal.retryAfterMs / 1000));
    response.setHeader('retry-after', seconds);
  }
  response.end(body);
}
