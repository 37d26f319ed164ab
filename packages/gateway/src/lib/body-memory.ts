/**
 * Bounds the memory that the bodies of all open requests take together.
 *
 * A body is kept so that it can be sent again. Once most of the memory is in use,
 * bodies are passed on as they arrive instead, which takes little memory for each
 * of any size, and the last part is left for that. When it is used up as well, a
 * further body is refused: requests that were begun are worth more than new ones.
 */

/** Memory of a body that is passed on: what its stream and its source hold. */
export const STREAM_BYTES = 262_144;
// Share of the limit that kept bodies may take.
const KEPT_SHARE = 0.75;

export class BodyMemory {
  private used = 0;

  private constructor(private readonly limitBytes: number) {}

  static create(limitBytes: number): BodyMemory {
    return new BodyMemory(limitBytes);
  }

  get usedBytes(): number {
    return this.used;
  }

  /** Opens the account of one request's body. */
  open(): BodyReservation {
    return BodyReservation.create(this);
  }

  /** Takes memory for a part of a body that is kept. */
  takeKept(bytes: number): boolean {
    return this.take(bytes, this.limitBytes * KEPT_SHARE);
  }

  /** Takes memory for a body that is passed on. */
  takeStreamed(bytes: number): boolean {
    return this.take(bytes, this.limitBytes);
  }

  giveBack(bytes: number): void {
    this.used -= bytes;
  }

  private take(bytes: number, limitBytes: number): boolean {
    if (this.used + bytes > limitBytes) return false;
    this.used += bytes;
    return true;
  }
}

/** Memory that the body of one request has taken. */
export class BodyReservation {
  private bytes = 0;
  private streamed = false;

  private constructor(private readonly memory: BodyMemory) {}

  static create(memory: BodyMemory): BodyReservation {
    return new BodyReservation(memory);
  }

  /** Takes memory for a further part; false when the body can't be kept. */
  keep(bytes: number): boolean {
    if (!this.memory.takeKept(bytes)) return false;
    this.bytes += bytes;
    return true;
  }

  get isStreamed(): boolean {
    return this.streamed;
  }

  /** Takes what is missing for a stream; false when there is not enough left. */
  stream(): boolean {
    const missing = Math.max(0, STREAM_BYTES - this.bytes);
    if (!this.memory.takeStreamed(missing)) return false;
    this.bytes += missing;
    this.streamed = true;
    return true;
  }

  /** Gives back what the stream no longer holds of the part that was kept. */
  shrinkToStream(): void {
    if (this.bytes > STREAM_BYTES) this.giveBack(this.bytes - STREAM_BYTES);
  }

  release(): void {
    this.giveBack(this.bytes);
  }

  private giveBack(bytes: number): void {
    this.memory.giveBack(bytes);
    this.bytes -= bytes;
  }
}
