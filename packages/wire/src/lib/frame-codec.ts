/**
 * Frames between instances: a 4-byte big-endian length, then one CBOR value.
 */
import {Encoder} from 'cbor-x';

/** Larger frames would hold up the heartbeats behind them. */
export const MAX_FRAME_BYTES = 1_048_576;
const LENGTH_BYTES = 4;

const codec = new Encoder({useRecords: false, mapsAsObjects: true});

/** A frame that breaks the protocol; it ends its connection. */
export class FrameError extends Error {}

/** Returns the framed bytes, or undefined when the value is too large. */
export function encodeFrame(value: unknown): Buffer | undefined {
  const body = codec.encode(value);
  if (body.length > MAX_FRAME_BYTES) return undefined;
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Yields the value of each frame; throws FrameError when one is bad. */
export async function* decodeFrames(
  chunks: AsyncIterable<Buffer>,
): AsyncGenerator<unknown, void, undefined> {
  let held: Buffer[] = [];
  let heldBytes = 0;
  for await (const chunk of chunks) {
    held.push(chunk);
    heldBytes += chunk.length;
    if (heldBytes < neededBytes(held)) continue;
    let rest = Buffer.concat(held);
    while (rest.length >= neededBytes([rest])) {
      const endAt = neededBytes([rest]);
      yield decodeBody(rest.subarray(LENGTH_BYTES, endAt));
      rest = rest.subarray(endAt);
    }
    held = rest.length > 0 ? [rest] : [];
    heldBytes = rest.length;
  }
  if (heldBytes > 0) throw new FrameError('truncated frame');
}

/** Bytes of the next frame, or of its length field while that is not whole. */
function neededBytes(held: readonly Buffer[]): number {
  const first = held[0];
  if (first === undefined) return LENGTH_BYTES;
  const head =
    first.length >= LENGTH_BYTES ? first : Buffer.concat(held.slice(0, 5));
  if (head.length < LENGTH_BYTES) return LENGTH_BYTES;
  const length = head.readUInt32BE(0);
  if (length > MAX_FRAME_BYTES) {
    throw new FrameError(`frame of ${length} bytes is over the limit`);
  }
  return LENGTH_BYTES + length;
}

function decodeBody(body: Buffer): unknown {
  try {
    // Copies the bytes, because decoded byte strings share their memory.
    return codec.decode(Buffer.from(body)) as unknown;
  } catch (error) {
    throw new FrameError(`not CBOR: ${(error as Error).message}`);
  }
}
