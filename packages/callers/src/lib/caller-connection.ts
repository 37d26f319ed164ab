/**
 * Tracks the connections of callers and the open requests on each.
 *
 * Responses leave a connection in the order of its requests. A request stays open
 * until its response was sent completely, because one that is ready may wait for
 * an earlier one.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** What an open request waits for. */
export type RequestPhase =
  /** Checks of route, team and freshness. */
  | 'admission'
  /** The caller has not sent the whole body yet. */
  | 'body'
  | 'rate-limit'
  /** A backend server, or the decision whether to retry. */
  | 'server'
  /** The caller has not read the whole response yet. */
  | 'response'
  /** An earlier request on the connection has no complete response yet. */
  | 'earlier-response';

export interface OpenRequest {
  requestId: string;
  response: ServerResponse;
  /** Aborted when the connection ends before the response is complete. */
  abandoned: AbortController;
  phase: RequestPhase;
  openedAtMs: number;
}

/** An open request as it is logged. */
export interface OpenRequestReport {
  requestId: string;
  phase: RequestPhase;
  ageMs: number;
  /** Number of requests that precede it on its connection. */
  precedingRequests: number;
}

// What a caller sends after its response is discarded within these bounds, so
// that it can read the response: closing with unread bytes resets the connection.
const MAX_DISCARD_MS = 500;
const MAX_DISCARDED_BYTES = 8_388_608;
// Node.js reads nothing from a connection while more than 16 KiB of responses
// wait for an earlier one, and so doesn't notice that the caller has left.
// Responses are therefore held here, within this bound for each connection.
const MAX_HELD_BYTES = 1_048_576;
// Added to each body for its head and for the request that is kept with it.
const HELD_RESPONSE_BYTES = 4096;

export class CallerConnection {
  /** Requests whose response has not been sent completely, in order. */
  private readonly openRequests: OpenRequest[] = [];
  /** The current response closes the connection, or it is being closed. */
  private closing = false;
  /** Nothing more is written to the connection. */
  private ending = false;
  private lastActiveAtMs = performance.now();
  private heldBytes = 0;

  private constructor(private readonly socket: Socket) {
    socket.once('end', () => this.abortOpenRequests());
    socket.once('close', () => this.closeOpenRequests());
    // Node.js calls it after the response that closes the connection.
    socket.destroySoon = () => this.end();
  }

  static create(socket: Socket): CallerConnection {
    return new CallerConnection(socket);
  }

  /**
   * Registers a request. Returns undefined when an earlier response closes the
   * connection: callers resend requests that were pipelined after it.
   */
  open(requestId: string, response: ServerResponse): OpenRequest | undefined {
    if (this.closing) return undefined;
    const openRequest: OpenRequest = {
      requestId,
      response,
      abandoned: new AbortController(),
      phase: 'admission',
      openedAtMs: performance.now(),
    };
    this.openRequests.push(openRequest);
    response.once('close', () => this.remove(openRequest));
    return openRequest;
  }

  /** Requests whose response has not been sent completely, in order. */
  reportOpen(): OpenRequestReport[] {
    return this.openRequests.map((openRequest, precedingRequests) => ({
      requestId: openRequest.requestId,
      phase: currentPhase(openRequest, precedingRequests),
      ageMs: Math.round(performance.now() - openRequest.openedAtMs),
      precedingRequests,
    }));
  }

  /** Closes the connection after this response if no other request follows. */
  closeAfter(openRequest: OpenRequest): void {
    if (this.openRequests.at(-1) !== openRequest) return;
    this.closing = true;
    openRequest.response.shouldKeepAlive = false;
  }

  /**
   * Resolves when a response of `bodyBytes` should be written: at its turn, when
   * the caller has left, or at once if the connection holds too much already.
   */
  async waitForTurn(
    {response, abandoned}: OpenRequest,
    bodyBytes: number,
  ): Promise<void> {
    const bytes = bodyBytes + HELD_RESPONSE_BYTES;
    if (response.socket || abandoned.signal.aborted) return;
    if (this.heldBytes + bytes > MAX_HELD_BYTES) return;
    this.heldBytes += bytes;
    await new Promise<void>(resolve => {
      response.once('socket', () => resolve());
      abandoned.signal.addEventListener('abort', () => resolve());
    });
    this.heldBytes -= bytes;
  }

  /** Closes the connection if it has had no open request for `idleMs`. */
  closeIfIdle(idleMs: number): void {
    if (this.closing || this.openRequests.length > 0) return;
    if (performance.now() - this.lastActiveAtMs < idleMs) return;
    this.end();
  }

  /** Discards the rest of a request that was answered before it was read. */
  discardRest(request: IncomingMessage, response: ServerResponse): void {
    if (request.complete || this.socket.destroyed) return;
    request.resume();
    const limit = () => {
      if (!request.complete) {
        request.once('close', this.limitDiscarding(request));
      }
    };
    // The response may wait for those to earlier requests.
    if (response.writableFinished) limit();
    else response.once('finish', limit);
  }

  /**
   * Answers bytes that are no request and closes the connection, after the
   * responses to earlier requests. Bytes behind a complete request get no
   * answer, because the caller would take it for the answer to that request.
   */
  rejectMalformed(statusLine: string): void {
    const {socket} = this;
    if (this.ending) return;
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    this.closing = true;
    // The parser would fail again on what follows.
    socket.removeAllListeners('data');
    const last = this.openRequests.at(-1);
    if (last && this.openRequests.length > 1) {
      rejectIfIncomplete(last, statusLine);
    }
    if (last && (last.response.headersSent || last.response.req.complete)) {
      socket.pause();
      if (last.response.writableFinished) this.end();
      else last.response.once('finish', () => this.end());
      return;
    }
    socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\n\r\n`);
    this.end();
  }

  /**
   * Closes the connection when all that was written has been sent. What the
   * caller still sends is discarded: closing with unread bytes resets the
   * connection, and the caller loses what it has not received yet.
   */
  private end(): void {
    const {socket} = this;
    if (this.ending) return;
    this.ending = true;
    this.closing = true;
    socket.removeAllListeners('data');
    socket.resume();
    socket.end(() => {
      if (!socket.destroyed) {
        socket.once('close', this.limitDiscarding(socket));
      }
    });
  }

  /** Closes the connection at the bounds; returns a function that ends this. */
  private limitDiscarding(source: IncomingMessage | Socket): () => void {
    const {socket} = this;
    let bytes = 0;
    const timer = setTimeout(() => socket.destroy(), MAX_DISCARD_MS);
    source.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > MAX_DISCARDED_BYTES) socket.destroy();
    });
    return () => clearTimeout(timer);
  }

  private remove(openRequest: OpenRequest): void {
    this.openRequests.splice(this.openRequests.indexOf(openRequest), 1);
    this.lastActiveAtMs = performance.now();
  }

  /** Node.js emits no `close` of a response that waits for an earlier one. */
  private closeOpenRequests(): void {
    this.abortOpenRequests();
    for (const {response} of [...this.openRequests]) {
      if (!response.socket) response.emit('close');
    }
  }

  private abortOpenRequests(): void {
    for (const openRequest of this.openRequests) openRequest.abandoned.abort();
  }
}

/** Answers a request whose body cannot be read, after the earlier ones. */
function rejectIfIncomplete({response}: OpenRequest, statusLine: string): void {
  if (response.headersSent || response.req.complete) return;
  response.shouldKeepAlive = false;
  response.writeHead(Number.parseInt(statusLine, 10), {'content-length': 0});
  response.end();
}

function currentPhase(
  {response, phase}: OpenRequest,
  precedingRequests: number,
): RequestPhase {
  if (phase !== 'response' && !response.headersSent) return phase;
  return precedingRequests > 0 ? 'earlier-response' : 'response';
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

  /** Requests of all connections whose response has not been sent completely. */
  reportOpen(): OpenRequestReport[] {
    return [...this.connections.values()].flatMap(connection =>
      connection.reportOpen(),
    );
  }

  closeIdle(idleMs: number): void {
    for (const connection of this.connections.values()) {
      connection.closeIfIdle(idleMs);
    }
  }
}
