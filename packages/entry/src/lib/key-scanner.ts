/**
 * Forwards a streamed request body and fails if it contains the team key.
 *
 * The last bytes are retained until more arrive, so that no part of a key that
 * spans two chunks is forwarded.
 */
import {Transform} from 'node:stream';
import type {TransformCallback} from 'node:stream';

/** Failure of a streamed body on the caller's side, not at the backend server. */
export class CallerBodyError extends Error {}

export const KEY_IN_BODY_MESSAGE = 'the body must not contain a team key';

export class KeyScanner extends Transform {
  private pendingBytes = Buffer.alloc(0);

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
    const bytes = Buffer.concat([this.pendingBytes, chunk]);
    if (bytes.includes(this.secret)) {
      done(new CallerBodyError(KEY_IN_BODY_MESSAGE));
      return;
    }
    const retainedBytes = Math.min(bytes.length, this.secret.length - 1);
    const forwardedBytes = bytes.length - retainedBytes;
    this.pendingBytes = bytes.subarray(forwardedBytes);
    done(null, bytes.subarray(0, forwardedBytes));
  }

  override _flush(done: TransformCallback): void {
    done(null, this.pendingBytes);
  }
}
