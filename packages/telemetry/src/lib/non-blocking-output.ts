/**
 * Writes lines to a stream without ever waiting for it: while its reader does
 * not keep up, lines beyond a bound are dropped and counted.
 */
import {Writable} from 'node:stream';

export interface BoundedOutputOptions {
  target: Writable;
  /** Bytes that may wait for the reader. */
  maxWaitingBytes: number;
}

// Holds some thousand lines, which is more than a second of the busiest kinds.
export const MAX_WAITING_BYTES = 1_048_576;

export class BoundedOutput extends Writable {
  private dropped = 0;

  private constructor(private readonly output: BoundedOutputOptions) {
    super({decodeStrings: false});
  }

  static create(options: BoundedOutputOptions): BoundedOutput {
    return new BoundedOutput(options);
  }

  override _write(
    line: string | Buffer,
    _encoding: string,
    callback: (error?: Error | null) => void,
  ): void {
    const {target, maxWaitingBytes} = this.output;
    if (target.writableLength > maxWaitingBytes || target.destroyed) {
      this.dropped += 1;
    } else {
      this.tellDropped();
      target.write(line);
    }
    callback();
  }

  private tellDropped(): void {
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
 * Standard output as a stream that never blocks. The runtime writes to pipes
 * synchronously by default, so that a stopped reader would stop the process.
 */
export function standardOutput(): BoundedOutput {
  const stdout = process.stdout as typeof process.stdout & BlockingHandle;
  stdout._handle?.setBlocking?.(false);
  // A reader that went away must not end the process.
  stdout.on('error', () => {});
  return BoundedOutput.create({
    target: stdout,
    maxWaitingBytes: MAX_WAITING_BYTES,
  });
}
