/** The connections of callers and the requests that are open on each. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

export interface OpenCall {
  response: ServerResponse;
  /** Aborted when the connection ends before the answer. */
  abandoned: AbortController;
}

export class CallerConnection {
  private readonly calls: OpenCall[] = [];
  /** An answer that closes the connection was begun, or it is being closed. */
  private closing = false;
  private activeAtMs = performance.now();

  private constructor(private readonly socket: Socket) {
    socket.once('end', () => this.abandon());
    socket.once('close', () => this.abandon());
  }

  static create(socket: Socket): CallerConnection {
    return new CallerConnection(socket);
  }

  /**
   * Opens a call. Undefined when an earlier answer closes the connection:
   * callers send what stands behind such an answer again.
   */
  open(response: ServerResponse): OpenCall | undefined {
    if (this.closing) return undefined;
    const call = {response, abandoned: new AbortController()};
    this.calls.push(call);
    return call;
  }

  finish(call: OpenCall): void {
    const index = this.calls.indexOf(call);
    if (index >= 0) this.calls.splice(index, 1);
    this.activeAtMs = performance.now();
  }

  /** Makes the answer of `call` the last one, if no other request waits. */
  closeAfter(call: OpenCall): void {
    if (this.calls.at(-1) !== call) return;
    this.closing = true;
    call.response.shouldKeepAlive = false;
  }

  /** Closes the connection if nothing was open on it for `idleMs`. */
  closeIfIdle(idleMs: number): void {
    if (this.closing || this.calls.length > 0) return;
    if (performance.now() - this.activeAtMs < idleMs) return;
    this.closing = true;
    this.socket.destroySoon();
  }

  private abandon(): void {
    for (const call of this.calls) call.abandoned.abort();
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
  of(socket: Socket): CallerConnection {
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
