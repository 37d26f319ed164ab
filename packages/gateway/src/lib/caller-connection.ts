/** Tracks the connections of callers and the open requests on each. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

export interface OpenRequest {
  response: ServerResponse;
  /** Aborted when the connection ends before the response is complete. */
  abandoned: AbortController;
}

export class CallerConnection {
  private readonly openRequests: OpenRequest[] = [];
  /** The current response closes the connection, or it is being closed. */
  private closing = false;
  private lastActiveAtMs = performance.now();

  private constructor(private readonly socket: Socket) {
    socket.once('end', () => this.abortOpenRequests());
    socket.once('close', () => this.abortOpenRequests());
  }

  static create(socket: Socket): CallerConnection {
    return new CallerConnection(socket);
  }

  /**
   * Registers a request. Returns undefined when an earlier response closes the
   * connection: callers resend requests that were pipelined after it.
   */
  open(response: ServerResponse): OpenRequest | undefined {
    if (this.closing) return undefined;
    const openRequest = {response, abandoned: new AbortController()};
    this.openRequests.push(openRequest);
    return openRequest;
  }

  finish(openRequest: OpenRequest): void {
    const index = this.openRequests.indexOf(openRequest);
    if (index >= 0) this.openRequests.splice(index, 1);
    this.lastActiveAtMs = performance.now();
  }

  /** Closes the connection after this response if no other request follows. */
  closeAfter(openRequest: OpenRequest): void {
    if (this.openRequests.at(-1) !== openRequest) return;
    this.closing = true;
    openRequest.response.shouldKeepAlive = false;
  }

  /** Closes the connection if it has had no open request for `idleMs`. */
  closeIfIdle(idleMs: number): void {
    if (this.closing || this.openRequests.length > 0) return;
    if (performance.now() - this.lastActiveAtMs < idleMs) return;
    this.closing = true;
    this.socket.destroySoon();
  }

  private abortOpenRequests(): void {
    for (const openRequest of this.openRequests) openRequest.abandoned.abort();
  }
}

export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  static create(): CallerConnections {
    return new CallerConnections();
  }

  get size(): number {
    return this.connections.size;
  }

  /** Returns the record of a socket, which is kept until the socket closes. */
  getOrCreate(socket: Socket): CallerConnection {
    let connection = this.connections.get(socket);
    if (!connection) {
      connection = CallerConnection.create(socket);
      this.connections.set(socket, connection);
      socket.once('close', () => this.connections.delete(socket));
    }
    return connection;
  }

  closeIdle(idleMs: number): void {
    for (const connection of this.connections.values()) {
      connection.closeIfIdle(idleMs);
    }
  }
}
