/**
 * Bounds the time for which responses of backend servers hold the event loop.
 *
 * undici parses all bytes of a socket that have arrived at once. Bytes outside
 * of bodies are dear: each header line, chunk and informational response is
 * handled by itself, and each header line beyond undici's limit makes an error.
 * Therefore undici gets such bytes in small slices, and in one turn of the event
 * loop no longer than for a time that all connections share.
 */
import type {Socket} from 'node:net';
import type {FramingMeter} from './framing-meter.js';

// Time for parsing in one turn of the event loop.
const MAX_PARSING_MS_PER_TURN = 5;
// While a connection delivers little else, it is read in slices of this size. The
// heads of most responses fit into one.
const SLICE_BYTES = 1024;

// A response is not deferred before it has this many bytes outside of its body, so
// that it does not wait for those of faulty servers.
const UNDEFERRED_BYTES = 2048;

/** How long the connections of a process may parse in the current turn. */
class TurnBudget {
  private startedAtMs: number | undefined;

  static create(): TurnBudget {
    return new TurnBudget();
  }

  /** Whether the time is over; the first call in a turn starts it. */
  get isSpent(): boolean {
    const nowMs = performance.now();
    if (this.startedAtMs === undefined) {
      this.startedAtMs = nowMs;
      setImmediate(() => (this.startedAtMs = undefined));
    }
    return nowMs - this.startedAtMs >= MAX_PARSING_MS_PER_TURN;
  }
}

const turnBudget = TurnBudget.create();

export class PacedReading {
  private readonly readSocket: Socket['read'];
  private parsedBytes = 0;
  private bodyBytes = 0;
  private mayReadAll = false;
  private isDeferred = false;

  private constructor(
    private readonly socket: Socket,
    private readonly framing: FramingMeter,
  ) {
    this.readSocket = socket.read.bind(socket);
  }

  /** Replaces `socket.read`; `framing` counts the bodies of the responses. */
  static apply(socket: Socket, framing: FramingMeter): void {
    const reading = new PacedReading(socket, framing);
    socket.read = size => reading.read(size);
  }

  private read(size?: number): unknown {
    const {socket} = this;
    if (size !== undefined) return this.readSocket(size);
    // Bytes that follow an error would only make more errors.
    if (socket.destroyed) return null;
    this.accountForLastSlice();
    if (this.framing.isExceededAt(this.parsedBytes)) {
      socket.destroy(new Error('answer with too many bytes outside its body'));
      return null;
    }
    const available = socket.readableLength;
    if (available === 0) return this.readSocket();
    const framingBytes = this.framing.framingAt(this.parsedBytes);
    if (framingBytes >= UNDEFERRED_BYTES && turnBudget.isSpent) {
      this.defer();
      return null;
    }
    if (this.mayReadAll || available <= SLICE_BYTES) return this.readSocket();
    return this.readSocket(SLICE_BYTES);
  }

  /** undici has parsed what the last call returned. */
  private accountForLastSlice(): void {
    const {socket, framing} = this;
    const parsedBytes = socket.bytesRead - socket.readableLength;
    const sliceBytes = parsedBytes - this.parsedBytes;
    if (sliceBytes === 0) return;
    const bodyBytes = framing.totalBodyBytes - this.bodyBytes;
    this.parsedBytes = parsedBytes;
    this.bodyBytes = framing.totalBodyBytes;
    this.mayReadAll = bodyBytes > sliceBytes / 2;
  }

  /** Lets undici read on in another turn. */
  private defer(): void {
    if (this.isDeferred) return;
    this.isDeferred = true;
    setImmediate(() => {
      this.isDeferred = false;
      if (!this.socket.destroyed) this.socket.emit('readable');
    });
  }
}
