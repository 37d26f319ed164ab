/** Dials one peer, with backoff, whenever there is no connection to it. */
import {connect} from 'node:net';
import type {Socket} from 'node:net';

/** Address that a peer listens on. */
export interface PeerAddress {
  instanceId: string;
  host: string;
  port: number;
}

/** Opens connections to peers by address. */
export interface PeerDialer {
  /** Connects to the peer and reconnects until `disconnect`. */
  connectTo(address: PeerAddress): void;
  disconnect(instanceId: string): void;
  /**
   * Whether nothing listened at the address when the peer was last dialed: its
   * process has ended.
   */
  wasRefused(instanceId: string): boolean;
}

export interface DialTaskOptions {
  address: PeerAddress;
  /** Resolves once there is no open connection to the peer. */
  whenDisconnected(): Promise<void>;
  /** Runs a new connection until it ends. */
  runConnection(socket: Socket): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 2000;
const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5000;
/** A connection that was open for this long resets the backoff. */
const STABLE_CONNECTION_MS = 2000;

export class DialTask {
  /** Whether nothing listened at the address at the last attempt. */
  wasRefused = false;
  private stopped = false;
  private endPause: (() => void) | undefined;

  private constructor(private readonly options: DialTaskOptions) {
    void this.run();
  }

  static create(options: DialTaskOptions): DialTask {
    return new DialTask(options);
  }

  get address(): PeerAddress {
    return this.options.address;
  }

  stop(): void {
    this.stopped = true;
    this.endPause?.();
  }

  private async run(): Promise<void> {
    let backoffMs = FIRST_BACKOFF_MS;
    while (!this.stopped) {
      await this.options.whenDisconnected();
      if (this.stopped) return;
      const startedAtMs = performance.now();
      const socket = await this.dial();
      if (socket) {
        if (this.stopped) socket.destroy();
        else await this.options.runConnection(socket);
      }
      const elapsedMs = performance.now() - startedAtMs;
      if (socket && elapsedMs > STABLE_CONNECTION_MS)
        backoffMs = FIRST_BACKOFF_MS;
      // Jitter keeps instances from dialing a restarted peer at the same time.
      await this.pause(backoffMs * (0.5 + Math.random() / 2));
      backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
    }
  }

  private dial(): Promise<Socket | undefined> {
    const {host, port} = this.options.address;
    return new Promise(resolve => {
      const socket = connect({host, port});
      const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
      socket.once('error', (error: NodeJS.ErrnoException) => {
        this.wasRefused = error.code === 'ECONNREFUSED';
      });
      socket.once('close', () => {
        clearTimeout(timer);
        resolve(undefined);
      });
      socket.once('connect', () => {
        clearTimeout(timer);
        this.wasRefused = false;
        resolve(socket);
      });
    });
  }

  private pause(durationMs: number): Promise<void> {
    if (this.stopped) return Promise.resolve();
    return new Promise(resolve => {
      const timer = setTimeout(resolve, durationMs);
      this.endPause = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
