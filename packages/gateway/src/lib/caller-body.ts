/** Reads the body of a caller's request; small bodies are buffered completely. */
import {BodyBuffer, BodyStream} from '@fireflytrack/body';
import type {RequestBody} from '@fireflytrack/upstream';
import type {IncomingMessage} from 'node:http';
import type {BodyReservation} from './body-memory.js';

export type BodyResult =
  | {kind: 'read'; body: RequestBody}
  | {kind: 'too-large'}
  | {kind: 'too-slow'}
  /** No memory is left for the body; no part of it was passed on. */
  | {kind: 'no-memory'}
  | {kind: 'abandoned'};

export interface BodyReadOptions {
  maxBytes: number;
  /** Monotonic time. */
  deadlineAtMs: number;
  /**
   * Memory of the body. A stream releases it when it closes; otherwise the caller
   * does, once the body is not needed any more.
   */
  reservation: BodyReservation;
}

// Bodies up to this size can be resent to another server in a retry.
const MAX_BUFFERED_BYTES = 1_048_576;
// Node.js may parse megabytes of one connection in one iteration of the event
// loop. Each chunk costs the same, however small, and delays all other requests.
const MAX_CHUNKS_PER_TURN = 1024;

/**
 * Reads the body, up to `deadlineAtMs`.
 *
 * A body over 1 MiB, or over the memory for bodies that are kept, becomes a
 * stream. The stream fails when it exceeds
 * `maxBytes`; a declared length over `maxBytes` yields `too-large` at once.
 */
export async function readRequestBody(
  request: IncomingMessage,
  options: BodyReadOptions,
): Promise<BodyResult> {
  const {headers} = request;
  const length = headers['content-length'];
  const chunked = headers['transfer-encoding'] !== undefined;
  if (!chunked && (length === undefined || Number(length) === 0)) {
    return {kind: 'read', body: {kind: 'none'}};
  }
  if (Number(length) > options.maxBytes) return {kind: 'too-large'};
  return CallerBodyReader.start(request, options).result;
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
    private readonly options: BodyReadOptions,
  ) {
    this.result = new Promise(resolve => {
      this.resolve = resolve;
    });
  }

  static start(
    request: IncomingMessage,
    options: BodyReadOptions,
  ): CallerBodyReader {
    const reader = new CallerBodyReader(request, options);
    reader.read(Math.max(0, options.deadlineAtMs - performance.now()));
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
    const {maxBytes, reservation} = this.options;
    if (this.stream) {
      if (this.bytes <= maxBytes) this.stream.append(chunk);
      else this.stream.destroy(new Error('body over the limit'));
      return;
    }
    this.buffered.append(chunk);
    if (this.bytes > maxBytes) {
      this.settle({kind: 'too-large'});
    } else if (
      this.bytes > MAX_BUFFERED_BYTES ||
      !reservation.keep(chunk.length)
    ) {
      if (reservation.stream()) this.startStream();
      else this.settle({kind: 'no-memory'});
    }
  }

  private startStream(): void {
    const {request} = this;
    const {reservation} = this.options;
    const stream = BodyStream.create({
      pause: () => {
        this.isPausedByReader = true;
        request.pause();
      },
      resume: () => {
        this.isPausedByReader = false;
        reservation.shrinkToStream();
        this.resume();
      },
      close: () => {
        reservation.release();
        this.detach();
      },
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
