/** The HTTP server towards callers, by moleculer-web. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer} from 'node:net';
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

// The limit of the configuration is checked by the request path; this one only
// bounds memory, and larger limits than it are not served.
const MAX_HEADER_BYTES = 65_536;
// An idle connection is closed this much later than callers are told to stop
// using it.
const IDLE_MARGIN_MS = 1000;
const SERVER_OPTIONS = {
  maxHeaderSize: MAX_HEADER_BYTES,
  noDelay: true,
  // Each request has a deadline of its own.
  requestTimeout: 0,
};

interface GatewayService {
  server: Server;
}

export class CallerServer {
  private constructor(private readonly server: Server) {}

  /** Registers the server with `broker`; it listens once the broker starts. */
  static create(
    broker: ServiceBroker,
    options: CallerServerOptions,
  ): CallerServer {
    const service = broker.createService({
      name: 'entry',
      mixins: [ApiGateway],
      settings: {ip: options.host, port: options.port},
      methods: {
        // The path of a request is chosen by host and prefix from a policy
        // that changes while traffic flows, which aliases cannot express.
        createServer(this: GatewayService) {
          this.server = createServer(SERVER_OPTIONS, options.handle);
          this.server.on('connection', socket => {
            options.connections.getOrCreate(socket);
          });
        },
      },
    });
    return new CallerServer((service as unknown as GatewayService).server);
  }

  setTimeouts(timeouts: CallerTimeouts): void {
    this.server.headersTimeout = timeouts.headerTimeoutMs;
    this.server.keepAliveTimeout = timeouts.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  /** Takes no new connections; the open ones stay. */
  stopAccepting(): void {
    // The callback-less form of net.Server: that of http.Server would close
    // idle connections, which callers may be using at this moment.
    NetServer.prototype.close.call(this.server);
  }
}
