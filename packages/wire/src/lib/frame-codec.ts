/**
 * Frames between instances: a 4-byte big-endian length, then one CBOR value.
 */
import {Encoder} from 'cbor-x';

/** Largest frame body; larger frames would delay the heartbeats queued behind them. */
export const MAX_FRAME_BYTES = 1_048_576;
const LENGTH_BYTES = 4;

const codec = new Encoder({useRecords: false, mapsAsObjects: true});

/** A protocol violation by the peer; the connection is closed. */
export class FrameError extends Error {}

/** Encodes a value as one frame; undefined when it exceeds `MAX_FRAME_BYTES`. */
export function encodeFrame(value: unknown): Buffer | undefined {
  const body = codec.encode(value);
  if (body.length > MAX_FRAME_BYTES) return undefined;
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Yields the decoded value of each frame; throws FrameError on an invalid one. */
export async function* decodeFrames(
  chunks: AsyncIterable<Buffer>,
): AsyncGenerator<unknown, void, undefined> {
  let buffered: Buffer[] = [];
  let bufferedBytes = 0;
  for await (const chunk of chunks) {
    buffered.push(chunk);
    bufferedBytes += chunk.length;
    if (bufferedBytes < nextFrameBytes(buffered)) continue;
    let remaining = Buffer.concat(buffered);
    while (remaining.length >= nextFrameBytes([remaining])) {
      const frameEnd = nextFrameBytes([remaining]);
      yield decodeBody(remaining.subarray(LENGTH_BYTES, frameEnd));
      remaining = remaining.subarray(frameEnd);
    }
    buffered = remaining.length > 0 ? [remaining] : [];
    bufferedBytes = remaining.length;
  }
  if (bufferedBytes > 0) throw new FrameError('truncated frame');
}

/**
 * Total bytes of the next frame, or of its length field while that field is
 * incomplete.
 */
function nextFrameBytes(chunks: readonly Buffer[]): number {
  const first = chunks[0];
  if (first === undefined) return LENGTH_BYTES;
  const header =
    first.length >= LENGTH_BYTES ? first : Buffer.concat(chunks.slice(0, 5));
  if (header.length < LENGTH_BYTES) return LENGTH_BYTES;
  const length = header.readUInt32BE(0);
  if (length > MAX_FRAME_BYTES) {
    throw new FrameError(`frame of ${length} bytes is over the limit`);
  }
  return LENGTH_BYTES + length;
}

function decodeBody(body: Buffer): unknown {
  try {
    // Decoded byte strings share memory with their input, so decode a copy.
    return codec.decode(Buffer.from(body)) as unknown;
  } catch (error) {
    throw new FrameError(`not CBOR: ${(error as Error).message}`);
  }
}
