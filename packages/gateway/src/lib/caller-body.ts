/** Reads the body of a caller's request; small bodies are buffered completely. */
import {Readable} from 'node:stream';
import type {IncomingMessage} from 'node:http';
import type {RequestBody} from '@fireflytrack/upstream';

export type BodyResult =
  | {kind: 'read'; body: RequestBody}
  | {kind: 'too-large'}
  | {kind: 'too-slow'}
  | {kind: 'abandoned'};

// Bodies up to this size can be resent to another server in a retry.
const MAX_BUFFERED_BYTES = 1_048_576;

/**
 * Reads the body, up to `deadlineAtMs` on the monotonic clock.
 *
 * A body over 1 MiB becomes a stream. The stream fails when it exceeds
 * `maxBytes`; a declared length over `maxBytes` yields `too-large` at once.
 */
export async function readRequestBody(
  request: IncomingMessage,
  maxBytes: number,
  deadlineAtMs: number,
): Promise<BodyResult> {
  const waitMs = Math.max(0, deadlineAtMs - performance.now());
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<BodyResult>(resolve => {
    timer = setTimeout(() => resolve({kind: 'too-slow'}), waitMs);
  });
  try {
    return await Promise.race([bufferOrStream(request, maxBytes), timeout]);
  } finally {
    clearTimeout(timer);
  }
}

async function bufferOrStream(
  request: IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  const {headers} = request;
  const length = headers['content-length'];
  const chunked = headers['transfer-encoding'] !== undefined;
  if (!chunked && (length === undefined || Number(length) === 0)) {
    return {kind: 'read', body: {kind: 'none'}};
  }
  if (Number(length) > maxBytes) return {kind: 'too-large'};
  const iterator = request[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  const chunks: Buffer[] = [];
  let bufferedBytes = 0;
  const maxBufferedBytes = Math.min(MAX_BUFFERED_BYTES, maxBytes);
  try {
    while (bufferedBytes <= maxBufferedBytes) {
      const chunk = await iterator.next();
      if (chunk.done) {
        const bytes = Buffer.concat(chunks);
        return {kind: 'read', body: {kind: 'buffered', bytes}};
      }
      chunks.push(chunk.value);
      bufferedBytes += chunk.value.length;
    }
  } catch {
    // The caller disconnected before the body was complete.
    return {kind: 'abandoned'};
  }
  if (bufferedBytes > maxBytes) return {kind: 'too-large'};
  const stream = Readable.from(streamRemaining(chunks, iterator, maxBytes));
  return {kind: 'read', body: {kind: 'stream', stream}};
}

async function* streamRemaining(
  buffered: Buffer[],
  iterator: AsyncIterator<Buffer>,
  maxBytes: number,
): AsyncGenerator<Buffer> {
  let bytes = 0;
  for (const chunk of buffered) {
    bytes += chunk.length;
    yield chunk;
  }
  for (;;) {
    const chunk = await iterator.next();
    if (chunk.done) return;
    bytes += chunk.value.length;
    if (bytes > maxBytes) throw new Error('body over the limit');
    yield chunk.value;
  }
}
