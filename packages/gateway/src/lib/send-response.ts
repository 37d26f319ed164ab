/** Writes responses to callers: those of backend servers and rejections. */
import type {ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import type {StreamedResponse, UpstreamResponse} from '@fireflytrack/upstream';
import {REJECTION_STATUS} from './rejection.js';
import type {Rejection} from './rejection.js';

// With a shorter delay, callers would retry before anything could change.
const MIN_RETRY_AFTER_MS = 50;
// Retry-After is written in hundredths of a second.
const RETRY_AFTER_STEP_MS = 10;
const STEPS_PER_SECOND = 100;

/**
 * Forwards the response of a server unchanged. Returns false if it could not be
 * sent completely; `abandoned` ends a response that is streamed.
 */
export async function sendUpstreamResponse(
  response: ServerResponse,
  upstreamResponse: UpstreamResponse,
  abandoned: AbortSignal,
): Promise<boolean> {
  if (response.destroyed || response.headersSent) {
    if (upstreamResponse.kind === 'streamed') upstreamResponse.body.destroy();
    return false;
  }
  if (upstreamResponse.kind === 'buffered') {
    sendBuffered(
      response,
      upstreamResponse.status,
      upstreamResponse.headers,
      upstreamResponse.body,
    );
    return true;
  }
  const {body} = upstreamResponse;
  await waitForTurn(response, body, abandoned);
  // The caller gets another answer if nothing has been sent.
  if (body.destroyed) return false;
  try {
    response.writeHead(upstreamResponse.status, upstreamResponse.headers);
    // A response that waits for an earlier one does not close with its connection.
    await pipeline(body, response, {signal: abandoned});
    return true;
  } catch (error) {
    body.destroy();
    if (!response.headersSent) throw error;
    // The caller must not mistake a truncated response for a complete one.
    response.destroy();
    return false;
  }
}

/** Waits until the earlier responses have been sent or the body has failed. */
function waitForTurn(
  response: ServerResponse,
  body: StreamedResponse['body'],
  abandoned: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    if (response.socket || body.destroyed) {
      resolve();
      return;
    }
    const onAbandoned = () => body.destroy();
    if (abandoned.aborted) onAbandoned();
    const end = () => {
      response.off('socket', end);
      body.off('close', end);
      abandoned.removeEventListener('abort', onAbandoned);
      resolve();
    };
    response.once('socket', end);
    body.once('close', end);
    abandoned.addEventListener('abort', onAbandoned, {once: true});
  });
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

/** Rounds up, because a caller that retries slightly early is refused again. */
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
