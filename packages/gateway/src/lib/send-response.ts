/** Writes answers to callers: those of backend servers, and our own. */
import type {ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import type {UpstreamResponse} from '@fireflytrack/upstream';
import {REJECTION_STATUS} from './rejection.js';
import type {Rejection} from './rejection.js';

// Below this, a caller would be back before anything could have changed.
const MIN_RETRY_AFTER_MS = 50;
// Times are told in hundredths of a second.
const RETRY_AFTER_STEP_MS = 10;
const STEPS_PER_SECOND = 100;

/** Writes the answer of a server unchanged; false if it broke off. */
export async function sendUpstreamResponse(
  response: ServerResponse,
  answer: UpstreamResponse,
): Promise<boolean> {
  if (response.destroyed) return false;
  if (answer.kind === 'held') {
    sendBuffered(response, answer.status, answer.headers, answer.body);
    return true;
  }
  response.writeHead(answer.status, answer.headers);
  try {
    await pipeline(answer.body, response);
    return true;
  } catch {
    // The caller must not take a cut answer for a whole one.
    response.destroy();
    return false;
  }
}

export function sendRejection(
  response: ServerResponse,
  rejection: Rejection,
): void {
  if (response.destroyed || response.headersSent) return;
  const {code, reason, retryAfterMs} = rejection;
  const body = Buffer.from(JSON.stringify({error: code, reason}) + '\n');
  const headers = ['content-type', 'application/json'];
  if (retryAfterMs !== undefined) {
    headers.push('retry-after', retryAfterSeconds(retryAfterMs));
  }
  sendBuffered(response, REJECTION_STATUS[code], headers, body);
}

/** Rounded up: a caller that comes a moment early is refused again. */
function retryAfterSeconds(retryAfterMs: number): string {
  const waitMs = Math.max(MIN_RETRY_AFTER_MS, retryAfterMs);
  return (Math.ceil(waitMs / RETRY_AFTER_STEP_MS) / STEPS_PER_SECOND).toFixed(
    2,
  );
}

function sendBuffered(
  response: ServerResponse,
  status: number,
  headers: string[],
  body: Buffer,
): void {
  const bodiless = status === 204 || status === 304;
  const hasLength = headers.some(
    (name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length',
  );
  const length =
    bodiless || hasLength ? [] : ['content-length', String(body.length)];
  response.writeHead(status, [...headers, ...length]);
  response.end(body);
}
