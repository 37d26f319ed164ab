/** The HTTP server that callers connect to, built on moleculer-web. */
import {createCallerServer} from '@fireflytrack/callers';
import type {CallerConnections} from '@fireflytrack/callers';
import {once} from 'node:events';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer} from 'node:net';
import type {ServiceBroker} from 'moleculer';
import ApiGateway from 'moleculer-web';

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
// No requestTimeout: each request has its own deadline.
const HTTP_OPTIONS = {maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0};

interface GatewayService {
  server: Server;
}

export class CallerServer {
  /** Resolves when the server listens; rejects when its address is in use. */
  readonly listening: Promise<unknown>;

  private constructor(private readonly server: Server) {
    this.listening = once(server, 'listening');
  }

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
          const {connections, handle} = options;
          const http = HTTP_OPTIONS;
          this.server = createCallerServer({http, connections, handle});
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
