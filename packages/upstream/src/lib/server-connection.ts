/**
 * One connection to a backend server, by an undici client of its own.
 *
 * The socket is opened here, so that its fate is known: undici takes an answer
 * that announced the end of its connection as complete when the connection is
 * reset, and a chunked one also when it ends before the last chunk.
 */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {Client} from 'undici';
import type {buildConnector} from 'undici';

// Opening a connection to a live server of the farthest region takes about
// 20 ms. A request may meet several silent servers in a row, so that the time
// for one is a small part of the shortest latency objective (1 s).
const CONNECT_TIMEOUT_MS = 250;
// Used when the server does not tell how long it keeps idle connections.
const IDLE_TIMEOUT_MS = 4000;
// Taken off the time that the server tells: a request must not cross its close.
const IDLE_MARGIN_MS = 1500;

export class ServerConnection {
  readonly client: Client;
  /** Monotonic time at which it became idle; for reuse rules. */
  idleSinceMs = 0;
  /** Whether it has carried a request before. */
  isReused = false;
  wasReset = false;
  /** The server closed its side. */
  hasEnded = false;
  private socket: Socket | undefined;

  private constructor(host: string, port: number, onClosed: () => void) {
    this.client = new Client(`http://${host}:${port}`, {
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      // Each request has its own deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (_options, callback) => {
        this.open(host, port, callback);
      },
    });
    this.client.on('disconnect', onClosed);
  }

  static create(
    host: string,
    port: number,
    onClosed: () => void,
  ): ServerConnection {
    return new ServerConnection(host, port, onClosed);
  }

  get isOpen(): boolean {
    return this.socket !== undefined && !this.socket.destroyed;
  }

  close(): void {
    this.client.destroy().catch(() => {
      // The requests on it were told; there is nobody else to tell.
    });
  }

  private open(
    host: string,
    port: number,
    callback: buildConnector.Callback,
  ): void {
    const socket = connect({host, port, noDelay: true});
    let settled = false;
    const settle = (error: Error | null) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      if (error) callback(error, null);
      else callback(null, socket);
    };
    const timer = setTimeout(() => {
      socket.destroy();
      settle(new Error('connect timeout'));
    }, CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      this.socket = socket;
      settle(null);
    });
    socket.on('error', error => {
      this.wasReset = true;
      settle(error);
    });
    socket.once('end', () => {
      this.hasEnded = true;
      // A reset that arrives together with bytes is reported as an orderly end;
      // only a socket that was reset has no peer any more.
      if (socket.remoteAddress === undefined) this.wasReset = true;
    });
    socket.once('close', () => settle(new Error('closed while connecting')));
  }
}
