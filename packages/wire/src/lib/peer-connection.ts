/**
 * One TCP connection to a peer. Frames are received one at a time; outgoing
 * frames are batched into one write per event loop tick, and the number of
 * unsent bytes is bounded.
 */
import type {Socket} from 'node:net';
import {FrameError, decodeFrames, encodeFrame} from './frame-codec.js';

export type SendResult = 'sent' | 'dropped' | 'too-large';

/**
 * Limit on unsent bytes, four frames of the largest size. Further frames are
 * dropped, so that a stalled peer cannot exhaust the memory of this instance.
 */
const MAX_UNSENT_BYTES = 4 * 1_048_576;
/** Each side sends at least one frame per period. */
const PING_PERIOD_MS = 1000;
/**
 * A connection that receives no bytes for this many periods is closed. Counting
 * periods instead of elapsed time tolerates pauses of this process.
 */
const MAX_SILENT_PERIODS = 5;
/** Time allowed for sending queued frames before the socket is destroyed. */
const FLUSH_TIMEOUT_MS = 1000;

export class PeerConnection {
  readonly openedAtMs = performance.now();
  private readonly frames: AsyncGenerator<unknown, void, undefined>;
  private queue: Buffer[] = [];
  private queuedBytes = 0;
  private flushScheduled = false;
  private closing = false;
  private readonly timer: NodeJS.Timeout;
  private sentSinceTick = false;
  private bytesReadAtTick = 0;
  private silentPeriods = 0;

  private constructor(private readonly socket: Socket) {
    socket.setNoDelay(true);
    // The reading task receives the error; an unhandled event would throw.
    socket.on('error', () => {});
    this.frames = decodeFrames(socket);
    this.timer = setInterval(() => this.checkKeepAlive(), PING_PERIOD_MS);
  }

  static create(socket: Socket): PeerConnection {
    return new PeerConnection(socket);
  }

  /** Remote `host:port`, for log lines. */
  get address(): string {
    return `${this.socket.remoteAddress}:${this.socket.remotePort}`;
  }

  get unsentBytes(): number {
    return this.queuedBytes + this.socket.writableLength;
  }

  /** Returns the next frame; throws when the connection ends or fails. */
  async receive(): Promise<unknown> {
    const next = await this.frames.next();
    if (next.done) throw new Error('connection ended');
    return next.value;
  }

  send(frame: unknown): SendResult {
    const bytes = encodeFrame(frame);
    if (bytes === undefined) return 'too-large';
    if (this.socket.destroyed || this.closing) return 'dropped';
    if (this.unsentBytes + bytes.length > MAX_UNSENT_BYTES) return 'dropped';
    this.queue.push(bytes);
    this.queuedBytes += bytes.length;
    if (!this.flushScheduled) {
      this.flushScheduled = true;
      setImmediate(() => this.flush());
    }
    return 'sent';
  }

  /** Sends the queued frames, then closes the connection gracefully. */
  flushAndClose(): void {
    this.flush();
    this.closing = true;
    this.socket.end();
    setTimeout(() => this.socket.destroy(), FLUSH_TIMEOUT_MS).unref();
  }

  destroy(reason?: string): void {
    clearInterval(this.timer);
    this.socket.destroy(reason ? new FrameError(reason) : undefined);
  }

  private flush(): void {
    this.flushScheduled = false;
    if (this.queue.length === 0 || this.socket.destroyed) return;
    const bytes = Buffer.concat(this.queue);
    this.queue = [];
    this.queuedBytes = 0;
    this.sentSinceTick = true;
    this.socket.write(bytes);
  }

  private checkKeepAlive(): void {
    if (!this.sentSinceTick) this.send({type: 'ping'});
    this.sentSinceTick = false;
    const silent = this.socket.bytesRead === this.bytesReadAtTick;
    this.bytesReadAtTick = this.socket.bytesRead;
    this.silentPeriods = silent ? this.silentPeriods + 1 : 0;
    if (this.silentPeriods >= MAX_SILENT_PERIODS) {
      this.destroy('the peer is silent');
    }
  }
}
