/**
 * Passes a streamed request body on and fails when it contains the team key.
 *
 * The last bytes are held back until more arrive, so that no part of a key
 * that spans two chunks is sent.
 */
import {Transform} from 'node:stream';
import type {TransformCallback} from 'node:stream';

/** A streamed body failed on the caller's side, not at the backend server. */
export class CallerBodyError extends Error {}

export const KEY_IN_BODY = 'the body must not contain a team key';

export class KeyScanner extends Transform {
  private held = Buffer.alloc(0);

  private constructor(private readonly secret: string) {
    super();
  }

  static create(secret: string): KeyScanner {
    return new KeyScanner(secret);
  }

  override _transform(
    chunk: Buffer,
    _encoding: BufferEncoding,
    done: TransformCallback,
  ): void {
    const bytes = Buffer.concat([this.held, chunk]);
    if (bytes.includes(this.secret)) {
      done(new CallerBodyError(KEY_IN_BODY));
      return;
    }
    const keptBytes = Math.min(bytes.length, this.secret.length - 1);
    const end = bytes.length - keptBytes;
    this.held = bytes.subarray(end);
    done(null, bytes.subarray(0, end));
  }

  override _flush(done: TransformCallback): void {
    done(null, this.held);
  }
}
