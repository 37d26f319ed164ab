/**
 * Writes lines to a stream without applying backpressure: when the reader does
 * not keep up, lines that exceed the buffer limit are dropped and counted.
 */
import {Writable} from 'node:stream';

export interface NonBlockingOutputOptions {
  target: Writable;
  /** Limit on the bytes buffered for the reader. */
  maxBufferedBytes: number;
}

// Several thousand lines, more than a second of the most frequent kinds.
export const MAX_BUFFERED_BYTES = 1_048_576;

export class NonBlockingOutput extends Writable {
  private dropped = 0;

  private constructor(private readonly output: NonBlockingOutputOptions) {
    super({decodeStrings: false});
  }

  static create(options: NonBlockingOutputOptions): NonBlockingOutput {
    return new NonBlockingOutput(options);
  }

  override _write(
    line: string | Buffer,
    _encoding: string,
    callback: (error?: Error | null) => void,
  ): void {
    const {target, maxBufferedBytes} = this.output;
    if (target.writableLength > maxBufferedBytes || target.destroyed) {
      this.dropped += 1;
    } else {
      this.reportDropped();
      target.write(line);
    }
    callback();
  }

  private reportDropped(): void {
    if (this.dropped === 0) return;
    const lines = this.dropped;
    this.dropped = 0;
    const timestamp = new Date().toISOString();
    const message = 'log lines dropped, the reader was slow';
    const fields = {level: 'warn', message, lines, timestamp};
    this.output.target.write(`${JSON.stringify(fields)}\n`);
  }
}

interface BlockingHandle {
  _handle?: {setBlocking?(blocking: boolean): void};
}

/**
 * Standard output as a stream that never blocks. Node.js writes to pipes
 * synchronously by default, so a reader that stops would block the process.
 */
export function standardOutput(): NonBlockingOutput {
  const stdout = process.stdout as typeof process.stdout & BlockingHandle;
  stdout._handle?.setBlocking?.(false);
  // A reader that closes the pipe must not end this process.
  stdout.on('error', () => {});
  return NonBlockingOutput.create({
    target: stdout,
    maxBufferedBytes: MAX_BUFFERED_BYTES,
  });
}
