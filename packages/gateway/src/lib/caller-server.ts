/** The HTTP server that callers connect to, built on moleculer-web. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer} from 'node:net';
import type {Socket} from 'node:net';
import type {ServiceBroker} from 'moleculer';
import ApiGateway from 'moleculer-web';
import type {CallerConnections} from './caller-connection.js';

export interface CallerServerOptions {
  host: string;
  port: number;
  connections: CallerConnections;
  handle(request: IncomingMessage, response: ServerResponse): Promise<void>;
}

export interface CallerTimeouts {
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

// Only bounds memory. The request handler enforces the configured limit, which
// has no effect above this value.
const MAX_HEADER_BYTES = 65_536;
// Idle connections are closed this long after the idle timeout announced to
// callers.
const IDLE_CLOSE_MARGIN_MS = 1000;
const SERVER_OPTIONS = {
  maxHeaderSize: MAX_HEADER_BYTES,
  noDelay: true,
  // Disabled: each request has its own deadline.
  requestTimeout: 0,
  // Node.js would respond by itself and close the connection after that, while
  // the next request on it is handled.
  requireHostHeader: false,
};

// Responses to bytes that are no request, by the error of Node's parser.
const MALFORMED_STATUS_LINES: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const DEFAULT_MALFORMED_STATUS_LINE = '400 Bad Request';

interface GatewayService {
  server: Server;
}

export class CallerServer {
  private constructor(private readonly server: Server) {}

  /** Registers the server with `broker`; it listens when the broker starts. */
  static create(
    broker: ServiceBroker,
    options: CallerServerOptions,
  ): CallerServer {
    const service = broker.createService({
      name: 'entry',
      mixins: [ApiGateway],
      settings: {ip: options.host, port: options.port},
      methods: {
        // Requests are routed by host and prefix from a policy that changes at
        // run time, which moleculer-web's aliases cannot express.
        createServer(this: GatewayService) {
          this.server = createServer(SERVER_OPTIONS, options.handle);
          // Otherwise Node.js ends the connection of a caller that has ended
          // its side, although one-time requests are completed.
          Object.assign(this.server, {httpAllowHalfOpen: true});
          this.server.on('connection', socket => {
            options.connections.getOrCreate(socket);
          });
          this.server.on('clientError', (error, socket) => {
            const {code = ''} = error as NodeJS.ErrnoException;
            options.connections
              .getOrCreate(socket as Socket)
              .rejectMalformed(
                MALFORMED_STATUS_LINES[code] ?? DEFAULT_MALFORMED_STATUS_LINE,
              );
          });
          // Without a listener, Node.js destroys the connection.
          this.server.on('connect', (_request, socket) => {
            options.connections
              .getOrCreate(socket as Socket)
              .rejectMalformed(DEFAULT_MALFORMED_STATUS_LINE);
          });
        },
      },
    });
    return new CallerServer((service as unknown as GatewayService).server);
  }

  setTimeouts(timeouts: CallerTimeouts): void {
    this.server.headersTimeout = timeouts.headerTimeoutMs;
    this.server.keepAliveTimeout =
      timeouts.idleTimeoutMs + IDLE_CLOSE_MARGIN_MS;
  }

  /** Stops accepting connections; open connections are kept. */
  stopAccepting(): void {
    // Calls net.Server's close: http.Server's own would also close idle
    // connections, on which callers may be sending a request at this moment.
    NetServer.prototype.close.call(this.server);
  }
}
