/**
 * Reads the body of a caller's request. A small body is buffered completely, so
 * that an idempotent request can be retried; a larger one is streamed and
 * cannot be retried.
 */
import {BodyBuffer} from '@fireflytrack/body';
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';

export type RequestBody =
  | {kind: 'empty'}
  | {kind: 'buffered'; bytes: Buffer}
  | {kind: 'stream'; stream: Readable};

export interface BodyError {
  code: 'body_too_large' | 'bad_request';
  message: string;
}

export interface BodyLimits {
  /** Larger bodies are rejected. Bytes. */
  maxBytes: number;
  /** Larger bodies are streamed instead of buffered. Bytes. */
  maxBufferedBytes: number;
}

export async function readRequestBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<RequestBody, BodyError>> {
  const {headers} = request;
  const contentLength = Number(headers['content-length'] ?? 0);
  if (contentLength > limits.maxBytes) return bodyTooLargeError(limits);
  if (contentLength === 0 && headers['transfer-encoding'] === undefined) {
    return Ok({kind: 'empty'});
  }
  const buffered = BodyBuffer.create();
  const iterator = request.iterator({destroyOnReturn: false});
  try {
    for (;;) {
      const next: IteratorResult<Buffer> = await iterator.next();
      if (next.done) return Ok({kind: 'buffered', bytes: buffered.take()});
      buffered.append(next.value);
      const {byteLength} = buffered;
      if (byteLength > limits.maxBytes) return bodyTooLargeError(limits);
      if (byteLength > limits.maxBufferedBytes) break;
    }
  } catch {
    return Err({code: 'bad_request', message: 'the request body broke off'});
  }
  const streamedBody = streamBody(buffered.take(), iterator, limits.maxBytes);
  return Ok({kind: 'stream', stream: Readable.from(streamedBody)});
}

async function* streamBody(
  start: Buffer,
  iterator: AsyncIterator<Buffer>,
  maxBytes: number,
): AsyncGenerator<Buffer> {
  let streamedBytes = start.length;
  yield start;
  for (;;) {
    const next: IteratorResult<Buffer> = await iterator.next();
    if (next.done) return;
    streamedBytes += next.value.length;
    if (streamedBytes > maxBytes)
      throw new Error('request body over the limit');
    yield next.value;
  }
}

function bodyTooLargeError(limits: BodyLimits) {
  const message = `the body is over ${limits.maxBytes} bytes`;
  return Err({code: 'body_too_large' as const, message});
}
