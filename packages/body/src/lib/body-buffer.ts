/**
 * Collects the body of a message. A parser yields one object for each chunk of a
 * body, however small, which takes far more memory than the bytes of the chunk.
 * Chunks are therefore merged while the body is incomplete.
 */

// Bounds the objects that are kept per body and the bytes that are copied twice.
const MAX_UNMERGED_CHUNKS = 256;

export class BodyBuffer {
  private pieces: Buffer[] = [];
  private unmerged: Buffer[] = [];
  private bytes = 0;

  private constructor() {}

  static create(): BodyBuffer {
    return new BodyBuffer();
  }

  get byteLength(): number {
    return this.bytes;
  }

  append(chunk: Buffer): void {
    this.bytes += chunk.length;
    this.unmerged.push(chunk);
    if (this.unmerged.length === MAX_UNMERGED_CHUNKS) this.merge();
  }

  /** Removes the bytes collected so far and returns them as one buffer. */
  take(): Buffer {
    const pieces = [...this.pieces, ...this.unmerged];
    const bytes = pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces);
    this.pieces = [];
    this.unmerged = [];
    this.bytes = 0;
    return bytes;
  }

  private merge(): void {
    this.pieces.push(Buffer.concat(this.unmerged));
    this.unmerged = [];
  }
}
