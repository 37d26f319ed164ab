/** The connections of callers and the requests that are open on each. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

export interface OpenRequest {
  response: ServerResponse;
  /** Aborted when the connection ends before the answer. */
  abandoned: AbortController;
}

export class CallerConnection {
  private readonly openRequests: OpenRequest[] = [];
  /** An answer that closes the connection was begun, or it is being closed. */
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
   * Opens a call. Undefined when an earlier answer closes the connection:
   * callers send what stands behind such an answer again.
   */
  open(response: ServerResponse): OpenRequest | undefined {
    if (this.closing) return undefined;
    const call = {response, abandoned: new AbortController()};
    this.openRequests.push(call);
    return call;
  }

  finish(call: OpenRequest): void {
    const index = this.openRequests.indexOf(call);
    if (index >= 0) this.openRequests.splice(index, 1);
    this.lastActiveAtMs = performance.now();
  }

  /** Makes the answer of `call` the last one, if no other request waits. */
  closeAfter(call: OpenRequest): void {
    if (this.openRequests.at(-1) !== call) return;
    this.closing = true;
    call.response.shouldKeepAlive = false;
  }

  /** Closes the connection if nothing was open on it for `idleMs`. */
  closeIfIdle(idleMs: number): void {
    if (this.closing || this.openRequests.length > 0) return;
    if (performance.now() - this.lastActiveAtMs < idleMs) return;
    this.closing = true;
    this.socket.destroySoon();
  }

  private abortOpenRequests(): void {
    for (const call of this.openRequests) call.abandoned.abort();
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

  /** The connection of a socket; known from its first use until its end. */
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
