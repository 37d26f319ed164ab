/** Builds the request for backend servers out of a call. */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {createHash} from 'node:crypto';
import type {Call} from './call.js';
import {headersWithoutKey} from './caller-key.js';
import type {ForwardRequest} from './forwarder.js';
import {CallerBodyError, KEY_IN_BODY, KeyScanner} from './key-scanner.js';
import type {Refusal} from './refusal.js';
import {readRequestBody} from './request-body.js';
import type {RequestBody} from './request-body.js';

// Bodies up to this size are held, so that the request can be sent again.
const HOLD_REQUEST_BYTES = 65_536;

export async function forwardRequestOf(
  call: Call,
): Promise<Result<ForwardRequest, Refusal>> {
  const {route, request, requestId, target, deadlineAtMs} = call;
  const holdAnswer = route.execution === 'once';
  const read = await readRequestBody(request, {
    maxBytes: route.maxBodyBytes,
    holdBytes: holdAnswer ? route.maxBodyBytes : HOLD_REQUEST_BYTES,
  });
  if (read.err) return read;
  const body = withoutKey(read.val, call.key);
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
    holdAnswer,
  });
}

/** Identifies the request, so that a reused idempotency key is noticed. */
export function requestDigestOf(forward: ForwardRequest): string {
  const hash = createHash('sha256');
  hash.update(`${forward.method} ${forward.target}\n`);
  if (forward.body.kind === 'whole') hash.update(forward.body.bytes);
  return hash.digest('hex');
}

function withoutKey(
  body: RequestBody,
  key: string,
): Result<RequestBody, Refusal> {
  const secret = key.slice(key.lastIndexOf('_') + 1);
  if (body.kind === 'whole' && body.bytes.includes(secret)) {
    return Err({code: 'bad_request', message: KEY_IN_BODY});
  }
  if (body.kind !== 'stream') return Ok(body);
  const scanner = KeyScanner.create(secret);
  body.stream.once('error', error =>
    scanner.destroy(new CallerBodyError(error.message)),
  );
  return Ok({kind: 'stream', stream: body.stream.pipe(scanner)});
}
