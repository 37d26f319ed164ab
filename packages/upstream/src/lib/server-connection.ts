/**
 * One connection to a backend server, with its own undici client.
 *
 * The socket is opened here to observe how it ends: undici treats a response
 * with "Connection: close" as complete when the connection is reset, and a
 * chunked one also when the connection ends before the last chunk.
 */
import {connect, isIPv6} from 'node:net';
import type {Socket} from 'node:net';
import {Client} from 'undici';
import type {Dispatcher, buildConnector} from 'undici';
import {CarriedRequests} from './carried-requests.js';
import {FramingMeter} from './framing-meter.js';
import {PacedReading} from './paced-reading.js';

// Connecting to a healthy server in the farthest region takes about 20 ms. A
// request may try several unresponsive servers in a row, so the timeout is a
// small part of the shortest latency objective (1 s).
const CONNECT_TIMEOUT_MS = 250;
// Used when the server doesn't announce a keep-alive timeout.
const IDLE_TIMEOUT_MS = 4000;
// Subtracted from the announced keep-alive timeout, so that no request is sent
// while the server closes the connection.
const IDLE_MARGIN_MS = 1500;
const RESET_CODE = 'ECONNRESET';
// undici takes a reset with the usual code as the end of a response without a
// length, and fails an assertion if that response is paused.
const REPORTED_RESET_CODE = 'ERR_SERVER_RESET';

export class ServerConnection {
  readonly client: Client;
  /** Monotonic time at which the connection became idle. */
  idleSinceMs = 0;
  /** Whether the connection has carried a request before. */
  isReused = false;
  wasReset = false;
  /** The server closed its side. */
  hasEnded = false;
  private socket: Socket | undefined;
  private readonly framing = FramingMeter.create();
  private readonly carried = CarriedRequests.create();
  /** Of the response that waits for its reader. */
  private paused: Dispatcher.DispatchController | undefined;

  private constructor(host: string, port: number, onClosed: () => void) {
    const urlHost = isIPv6(host) ? `[${host}]` : host;
    this.client = new Client(`http://${urlHost}:${port}`, {
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      // Disabled: each request has its own deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (_options, callback) => {
        this.open(host, port, callback);
      },
    });
    this.client.on('disconnect', onClosed);
  }

  /** Throws if the address cannot be part of a URL. */
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

  /** Whether it should carry no further request. */
  get isSpent(): boolean {
    return this.carried.isFull;
  }

  hasCarried(requestId: string): boolean {
    return this.carried.has(requestId);
  }

  /** Starts a request, and counting the bytes of its response. */
  startRequest(requestId: string): void {
    this.carried.add(requestId);
    this.paused = undefined;
    this.framing.start(this.socket?.bytesRead ?? 0);
  }

  /** Counts bytes that belong to the body of the response. */
  addBodyBytes(bytes: number): void {
    this.framing.addBody(bytes);
  }

  /** Makes the server wait until `resumeResponse` is called. */
  pauseResponse(controller: Dispatcher.DispatchController): void {
    this.paused = controller;
    controller.pause();
  }

  resumeResponse(): void {
    const {paused} = this;
    this.paused = undefined;
    paused?.resume();
  }

  close(): void {
    this.client.destroy().catch(() => {
      // The requests on the connection have already been failed.
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
      this.useSocket(socket);
      PacedReading.apply(socket, this.framing);
      settle(null);
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.wasReset = true;
      if (error.code === RESET_CODE) error.code = REPORTED_RESET_CODE;
      settle(error);
    });
    socket.once('end', () => {
      this.hasEnded = true;
      // Node reports a reset that arrives together with data as an orderly end;
      // the missing remote address reveals it.
      if (socket.remoteAddress === undefined) this.wasReset = true;
      // undici, whose listener runs later, must not find the response paused. All
      // of it has been read.
      this.resumeResponse();
    });
    socket.once('close', () => settle(new Error('closed while connecting')));
  }

  /**
   * The client opens a second socket if the first closes before a request is
   * written to it.
   */
  private useSocket(socket: Socket): void {
    this.socket = socket;
    this.isReused = false;
    this.wasReset = false;
    this.hasEnded = false;
    this.framing.start(0);
  }
}
