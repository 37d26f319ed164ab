/** Reads the body of a caller's request; small bodies are buffered completely. */
import {BodyBuffer, BodyStream} from '@fireflytrack/body';
import type {RequestBody} from '@fireflytrack/upstream';
import type {IncomingMessage} from 'node:http';

export type BodyResult =
  | {kind: 'read'; body: RequestBody}
  | {kind: 'too-large'}
  | {kind: 'too-slow'}
  | {kind: 'abandoned'};

// Bodies up to this size can be resent to another server in a retry.
const MAX_BUFFERED_BYTES = 1_048_576;
// Node.js may parse megabytes of one connection in one iteration of the event
// loop. Each chunk costs the same, however small, and delays all other requests.
const MAX_CHUNKS_PER_TURN = 1024;

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
  const {headers} = request;
  const length = headers['content-length'];
  const chunked = headers['transfer-encoding'] !== undefined;
  if (!chunked && (length === undefined || Number(length) === 0)) {
    return {kind: 'read', body: {kind: 'none'}};
  }
  if (Number(length) > maxBytes) return {kind: 'too-large'};
  return CallerBodyReader.start(request, maxBytes, deadlineAtMs).result;
}

/**
 * Reads by events: an iterator would create several promises for each chunk,
 * however small.
 */
class CallerBodyReader {
  readonly result: Promise<BodyResult>;
  private resolve!: (result: BodyResult) => void;
  private readonly buffered = BodyBuffer.create();
  private stream: BodyStream | undefined;
  private bytes = 0;
  /** Chunks since the event loop had its last turn for other work. */
  private chunksInTurn = 0;
  private isPausedByReader = false;
  private isDetached = false;
  private readonly onData = (chunk: Buffer) => this.append(chunk);
  private readonly onEnd = () => this.finish();
  private readonly onClosed = () => this.abandon();

  private constructor(
    private readonly request: IncomingMessage,
    private readonly maxBytes: number,
  ) {
    this.result = new Promise(resolve => {
      this.resolve = resolve;
    });
  }

  static start(
    request: IncomingMessage,
    maxBytes: number,
    deadlineAtMs: number,
  ): CallerBodyReader {
    const reader = new CallerBodyReader(request, maxBytes);
    reader.read(Math.max(0, deadlineAtMs - performance.now()));
    return reader;
  }

  private read(waitMs: number): void {
    const timer = setTimeout(() => this.settle({kind: 'too-slow'}), waitMs);
    void this.result.then(() => clearTimeout(timer));
    const {request} = this;
    request.on('end', this.onEnd);
    request.on('error', this.onClosed);
    request.on('close', this.onClosed);
    request.on('data', this.onData);
    if (request.destroyed) this.abandon();
  }

  private append(chunk: Buffer): void {
    this.bytes += chunk.length;
    this.chunksInTurn += 1;
    if (this.chunksInTurn === MAX_CHUNKS_PER_TURN) this.yieldTurn();
    if (this.stream) {
      if (this.bytes <= this.maxBytes) this.stream.append(chunk);
      else this.stream.destroy(new Error('body over the limit'));
      return;
    }
    this.buffered.append(chunk);
    if (this.bytes > this.maxBytes) this.settle({kind: 'too-large'});
    else if (this.bytes > MAX_BUFFERED_BYTES) this.startStream();
  }

  private startStream(): void {
    const {request} = this;
    const stream = BodyStream.create({
      pause: () => {
        this.isPausedByReader = true;
        request.pause();
      },
      resume: () => {
        this.isPausedByReader = false;
        this.resume();
      },
      close: () => this.detach(),
    });
    // Keeps an error before the first read from ending the process. The reader
    // gets it as well.
    stream.on('error', () => {});
    this.stream = stream;
    stream.append(this.buffered.take());
    this.resolve({kind: 'read', body: {kind: 'stream', stream}});
  }

  /** Continues in the next iteration of the event loop. */
  private yieldTurn(): void {
    this.request.pause();
    setImmediate(() => {
      this.chunksInTurn = 0;
      this.resume();
    });
  }

  private resume(): void {
    const isTurnOver = this.chunksInTurn >= MAX_CHUNKS_PER_TURN;
    if (this.isDetached || this.isPausedByReader || isTurnOver) return;
    this.request.resume();
  }

  private finish(): void {
    if (this.stream) {
      this.detach();
      this.stream.finish();
      return;
    }
    const bytes = this.buffered.take();
    this.settle({kind: 'read', body: {kind: 'buffered', bytes}});
  }

  /** The caller disconnected before the body was complete. */
  private abandon(): void {
    if (this.stream) this.stream.destroy(new Error('the body is incomplete'));
    else this.settle({kind: 'abandoned'});
  }

  private settle(result: BodyResult): void {
    if (this.stream) return;
    this.detach();
    this.resolve(result);
  }

  private detach(): void {
    const {request} = this;
    this.isDetached = true;
    request.off('data', this.onData);
    request.off('end', this.onEnd);
    request.off('error', this.onClosed);
    request.off('close', this.onClosed);
    request.pause();
  }
}
