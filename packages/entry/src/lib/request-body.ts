/**
 * The body of a caller's request: small ones are held whole, so that an
 * idempotent request can be sent again; larger ones are streamed once.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';

export type RequestBody =
  | {kind: 'empty'}
  | {kind: 'whole'; bytes: Buffer}
  | {kind: 'stream'; stream: Readable};

export interface BodyError {
  code: 'body_too_large' | 'bad_request';
  message: string;
}

export interface BodyLimits {
  /** Larger bodies are refused. */
  maxBytes: number;
  /** Larger bodies are streamed instead of held. */
  holdBytes: number;
}

export async function readRequestBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<RequestBody, BodyError>> {
  const {headers} = request;
  const announced = Number(headers['content-length'] ?? 0);
  if (announced > limits.maxBytes) return tooLarge(limits);
  if (announced === 0 && headers['transfer-encoding'] === undefined) {
    return Ok({kind: 'empty'});
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  const iterator = request.iterator({destroyOnReturn: false});
  try {
    for (;;) {
      const next: IteratorResult<Buffer> = await iterator.next();
      if (next.done) return Ok({kind: 'whole', bytes: Buffer.concat(chunks)});
      chunks.push(next.value);
      bytes += next.value.length;
      if (bytes > limits.maxBytes) return tooLarge(limits);
      if (bytes > limits.holdBytes) break;
    }
  } catch {
    return Err({code: 'bad_request', message: 'the request body broke off'});
  }
  const rest = remainder(chunks, iterator, limits.maxBytes);
  return Ok({kind: 'stream', stream: Readable.from(rest)});
}

async function* remainder(
  chunks: Buffer[],
  iterator: AsyncIterator<Buffer>,
  maxBytes: number,
): AsyncGenerator<Buffer> {
  let bytes = 0;
  for (const chunk of chunks) {
    bytes += chunk.length;
    yield chunk;
  }
  for (;;) {
    const next: IteratorResult<Buffer> = await iterator.next();
    if (next.done) return;
    bytes += next.value.length;
    if (bytes > maxBytes) throw new Error('request body over the limit');
    yield next.value;
  }
}

function tooLarge(limits: BodyLimits) {
  const message = `the body is over ${limits.maxBytes} bytes`;
  return Err({code: 'body_too_large' as const, message});
}
