/**
 * Passes on the body of a message while it arrives. The chunks that one iteration
 * of the event loop yields are passed on together, because each piece costs its
 * reader far more than its bytes.
 */
import {Readable} from 'node:stream';
import {BodyBuffer} from './body-buffer.js';

// Two reads of a socket, so that a reader that keeps up pauses no source.
const MAX_BUFFERED_BYTES = 131_072;

export interface BodySource {
  /** Called when the reader is slower than the source. */
  pause(): void;
  resume(): void;
  /** Called when the stream closes, also after its end. */
  close(): void;
}

export class BodyStream extends Readable {
  private readonly pending = BodyBuffer.create();
  private isFlushScheduled = false;

  private constructor(private readonly source: BodySource) {
    super({highWaterMark: MAX_BUFFERED_BYTES});
  }

  static create(source: BodySource): BodyStream {
    return new BodyStream(source);
  }

  append(chunk: Buffer): void {
    this.pending.append(chunk);
    // One iteration may read megabytes before its end.
    if (this.pending.byteLength >= MAX_BUFFERED_BYTES) this.flush();
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    // Node's HTTP parser runs the tick queue after each chunk.
    setImmediate(() => {
      this.isFlushScheduled = false;
      this.flush();
    });
  }

  /** Ends the stream after what was appended. */
  finish(): void {
    this.flush();
    this.push(null);
  }

  override _read(): void {
    this.source.resume();
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    this.source.close();
    callback(error);
  }

  private flush(): void {
    if (this.destroyed || this.pending.byteLength === 0) return;
    if (!this.push(this.pending.take())) this.source.pause();
  }
}
