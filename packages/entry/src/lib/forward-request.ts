/** Builds the request that is forwarded to backend servers. */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {createHash} from 'node:crypto';
import type {Call} from './call.js';
import {headersWithoutKey} from './caller-key.js';
import type {ForwardRequest} from './forwarder.js';
import {
  CallerBodyError,
  KEY_IN_BODY_MESSAGE,
  KeyScanner,
} from './key-scanner.js';
import type {Refusal} from './refusal.js';
import {readRequestBody} from './request-body.js';
import type {RequestBody} from './request-body.js';

// Bodies up to this size are buffered, so that the request can be retried.
const MAX_BUFFERED_REQUEST_BYTES = 65_536;

export async function buildForwardRequest(
  call: Call,
): Promise<Result<ForwardRequest, Refusal>> {
  const {route, request, requestId, target, deadlineAtMs} = call;
  const bufferResponse = route.execution === 'once';
  const received = await readRequestBody(request, {
    maxBytes: route.maxBodyBytes,
    maxBufferedBytes: bufferResponse
      ? route.maxBodyBytes
      : MAX_BUFFERED_REQUEST_BYTES,
  });
  if (received.err) return received;
  const body = rejectKeyInBody(received.val, call.key);
  if (body.err) return body;
  const headers = headersWithoutKey(request.headers, call.key);
  headers['x-team'] = call.holder.teamName;
  const {answerContentType} = route;
  return Ok({
    requestId,
    method: request.method ?? 'GET',
    target,
    headers,
    body: body.val,
    deadlineAtMs,
    answerContentType,
    bufferResponse,
  });
}

/** Computes a digest that detects an idempotency key reused for another request. */
export function computeRequestDigest(forward: ForwardRequest): string {
  const hash = createHash('sha256');
  hash.update(`${forward.method} ${forward.target}\n`);
  if (forward.body.kind === 'buffered') hash.update(forward.body.bytes);
  return hash.digest('hex');
}

function rejectKeyInBody(
  body: RequestBody,
  key: string,
): Result<RequestBody, Refusal> {
  const secret = key.slice(key.lastIndexOf('_') + 1);
  if (body.kind === 'buffered' && body.bytes.includes(secret)) {
    return Err({code: 'bad_request', message: KEY_IN_BODY_MESSAGE});
  }
  if (body.kind !== 'stream') return Ok(body);
  const scanner = KeyScanner.create(secret);
  body.stream.once('error', error =>
    scanner.destroy(new CallerBodyError(error.message)),
  );
  return Ok({kind: 'stream', stream: body.stream.pipe(scanner)});
}
