/**
 * Counts the bytes of a response that are not its body: status line, headers,
 * chunk sizes and extensions, trailers. undici limits some of these, but reads
 * others for as long as they come.
 */

// Larger than undici's limit on the size of headers, 16 KiB.
const MAX_FRAMING_BYTES = 65_536;
// A chunk with one byte of body has 6 bytes, and 7 with a leading zero.
const MAX_FRAMING_PER_BODY_BYTE = 7;

export class FramingMeter {
  /** Of all responses of the connection. */
  totalBodyBytes = 0;
  private startBytes = 0;
  private bodyBytes = 0;

  static create(): FramingMeter {
    return new FramingMeter();
  }

  /** Starts a response, after `readBytes` bytes of the connection. */
  start(readBytes: number): void {
    this.startBytes = readBytes;
    this.bodyBytes = 0;
  }

  addBody(bytes: number): void {
    this.bodyBytes += bytes;
    this.totalBodyBytes += bytes;
  }

  /** Framing of a response that reaches up to `readBytes`. */
  framingAt(readBytes: number): number {
    return readBytes - this.startBytes - this.bodyBytes;
  }

  /** Whether a response that reaches up to `readBytes` has too much framing. */
  isExceededAt(readBytes: number): boolean {
    const maxBytes =
      MAX_FRAMING_BYTES + this.bodyBytes * MAX_FRAMING_PER_BODY_BYTE;
    return this.framingAt(readBytes) > maxBytes;
  }
}
