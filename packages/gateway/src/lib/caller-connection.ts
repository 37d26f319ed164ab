/** One connection of a caller and the requests that are open on it. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

export interface OpenCall {
  response: ServerResponse;
  /** Aborted when the connection ends before the answer. */
  abandoned: AbortController;
}

const connections = new WeakMap<Socket, CallerConnection>();

export class CallerConnection {
  private readonly calls: OpenCall[] = [];
  /** An answer that closes the connection was begun. */
  private closing = false;

  private constructor(socket: Socket) {
    socket.once('end', () => this.abandon());
    socket.once('close', () => this.abandon());
  }

  static of(socket: Socket): CallerConnection {
    let connection = connections.get(socket);
    if (!connection) {
      connection = new CallerConnection(socket);
      connections.set(socket, connection);
    }
    return connection;
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
  }

  /** Makes the answer of `call` the last one, if no other request waits. */
  closeAfter(call: OpenCall): void {
    if (this.calls.at(-1) !== call) return;
    this.closing = true;
    call.response.shouldKeepAlive = false;
  }

  private abandon(): void {
    for (const call of this.calls) call.abandoned.abort();
  }
}
