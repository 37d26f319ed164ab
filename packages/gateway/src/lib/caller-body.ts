/** Reads the body of a caller's request, held whole where it is small. */
import {Readable} from 'node:stream';
import type {IncomingMessage} from 'node:http';
import type {RequestBody} from '@fireflytrack/upstream';

export type BodyResult =
  | {kind: 'read'; body: RequestBody}
  | {kind: 'too-large'}
  | {kind: 'too-slow'}
  | {kind: 'abandoned'};

// Bodies up to this size can be sent again to another server.
const MAX_BUFFERED_BYTES = 1_048_576;

/** Reads the body until `deadlineAtMs` of the monotonic clock. */
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
  try {
    while (bufferedBytes <= MAX_BUFFERED_BYTES) {
      const next = await iterator.next();
      if (next.done) {
        const bytes = Buffer.concat(chunks);
        return {kind: 'read', body: {kind: 'held', bytes}};
      }
      chunks.push(next.value);
      bufferedBytes += next.value.length;
    }
  } catch {
    // The caller broke its request off; its connection is gone.
    return {kind: 'abandoned'};
  }
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
    const next = await iterator.next();
    if (next.done) return;
    bytes += next.value.length;
    if (bytes > maxBytes) throw new Error('body over the limit');
    yield next.value;
  }
}
