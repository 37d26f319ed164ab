/**
 * One TCP connection to a peer: frames in by iteration, frames out in one
 * write per tick, with a bound on unsent bytes.
 */
import type {Socket} from 'node:net';
import {FrameError, decodeFrames, encodeFrame} from './frame-codec.js';

export type SendResult = 'sent' | 'dropped' | 'too-large';

/**
 * Unsent bytes above which frames to the peer are dropped: four frames of the
 * largest size. A peer that stalls must not fill the memory of this instance.
 */
const MAX_UNSENT_BYTES = 4 * 1_048_576;
/** Either side sends at least once in this time. */
const PING_MS = 1000;
/**
 * A connection without any byte for this many periods is closed. Counting
 * periods instead of time ignores a pause of this process.
 */
const MAX_SILENT_PERIODS = 5;
/** Time in which the peer must take what was queued before a close. */
const FINISH_MS = 1000;

export class PeerConnection {
  readonly openedAtMs = performance.now();
  private readonly frames: AsyncGenerator<unknown, void, undefined>;
  private queue: Buffer[] = [];
  private queuedBytes = 0;
  private flushScheduled = false;
  private finishing = false;
  private readonly timer: NodeJS.Timeout;
  private sentSinceTick = false;
  private bytesReadAtTick = 0;
  private silentPeriods = 0;

  private constructor(private readonly socket: Socket) {
    socket.setNoDelay(true);
    // Failures reach the reading task; without a listener they would throw.
    socket.on('error', () => {});
    this.frames = decodeFrames(socket);
    this.timer = setInterval(() => this.keepAlive(), PING_MS);
  }

  static create(socket: Socket): PeerConnection {
    return new PeerConnection(socket);
  }

  /** Remote address for log lines. */
  get address(): string {
    return `${this.socket.remoteAddress}:${this.socket.remotePort}`;
  }

  get unsentBytes(): number {
    return this.queuedBytes + this.socket.writableLength;
  }

  /** The next frame; throws when the connection ends or breaks. */
  async receive(): Promise<unknown> {
    const next = await this.frames.next();
    if (next.done) throw new Error('connection ended');
    return next.value;
  }

  send(frame: unknown): SendResult {
    const bytes = encodeFrame(frame);
    if (bytes === undefined) return 'too-large';
    if (this.socket.destroyed || this.finishing) return 'dropped';
    if (this.unsentBytes + bytes.length > MAX_UNSENT_BYTES) return 'dropped';
    this.queue.push(bytes);
    this.queuedBytes += bytes.length;
    if (!this.flushScheduled) {
      this.flushScheduled = true;
      setImmediate(() => this.flush());
    }
    return 'sent';
  }

  /** Sends what is queued and closes; the peer reads it to the end. */
  finish(): void {
    this.flush();
    this.finishing = true;
    this.socket.end();
    setTimeout(() => this.socket.destroy(), FINISH_MS).unref();
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

  private keepAlive(): void {
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
