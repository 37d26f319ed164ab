/**
 * The HTTP server that accepts callers. It never answers by itself while earlier
 * requests on the connection are handled, as Node.js would.
 */
import {createServer} from 'node:http';
import type {
  IncomingMessage,
  Server,
  ServerOptions,
  ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {CallerConnections} from './caller-connection.js';

export interface CallerServerOptions {
  /** Options of Node.js, such as limits and timeouts. */
  http: ServerOptions;
  connections: CallerConnections;
  handle(request: IncomingMessage, response: ServerResponse): void;
}

// Responses to bytes that are no request, by the error of Node's parser.
const MALFORMED_STATUS_LINES: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const DEFAULT_MALFORMED_STATUS_LINE = '400 Bad Request';

/** Creates the server; it does not listen yet. */
export function createCallerServer(options: CallerServerOptions): Server {
  const {connections} = options;
  const server = createServer(
    {
      ...options.http,
      noDelay: true,
      // Node.js would respond by itself and close the connection after that,
      // while the next request on it is handled.
      requireHostHeader: false,
    },
    (request, response) => options.handle(request, response),
  );
  // Otherwise Node.js ends the connection of a caller that has ended its side,
  // although one-time requests are completed.
  Object.assign(server, {httpAllowHalfOpen: true});
  server.on('connection', socket => {
    // Node.js removes its own listener from the socket of a CONNECT request; an
    // error without one would end the process.
    socket.on('error', () => {});
    connections.getOrCreate(socket);
  });
  server.on('clientError', (error, socket) => {
    const {code = ''} = error as NodeJS.ErrnoException;
    const statusLine =
      MALFORMED_STATUS_LINES[code] ?? DEFAULT_MALFORMED_STATUS_LINE;
    connections.getOrCreate(socket as Socket).rejectMalformed(statusLine);
  });
  // Without a listener, Node.js destroys the connection.
  server.on('connect', (_request, socket) => {
    connections
      .getOrCreate(socket as Socket)
      .rejectMalformed(DEFAULT_MALFORMED_STATUS_LINE);
  });
  return server;
}
