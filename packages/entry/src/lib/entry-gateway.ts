/** The HTTP server for callers (moleculer-web). */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ServiceBroker} from 'moleculer';
import ApiGateway from 'moleculer-web';
import type {RequestPath} from './request-path.js';

export interface EntryGatewayOptions {
  host: string;
  port: number;
}

// A caller that has not sent its complete headers or request by then is
// disconnected, so that slow senders do not occupy connections.
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;

interface NewestResponse {
  response: ServerResponse;
  /** Whether the connection is kept after it, but for a stop. */
  keepsAlive: boolean;
}

interface GatewayService {
  server: Server;
}

export class EntryGateway {
  private service: GatewayService | undefined;
  private stopping = false;
  /** The response to the newest request of each connection. */
  private readonly newestResponses = new WeakMap<Socket, NewestResponse>();

  private constructor(private readonly requestPath: RequestPath) {}

  /** Registers the gateway with `broker`; it listens when the broker starts. */
  static create(
    broker: ServiceBroker,
    requestPath: RequestPath,
    options: EntryGatewayOptions,
  ): EntryGateway {
    const gateway = new EntryGateway(requestPath);
    const service = broker.createService({
      name: 'entry',
      mixins: [ApiGateway],
      settings: {
        ip: options.host,
        port: options.port,
        logRequest: null,
        logResponse: null,
        routes: [
          {
            path: '/',
            aliases: {
              '/(.*)': (request: IncomingMessage, response: ServerResponse) =>
                gateway.handle(request, response),
            },
            mappingPolicy: 'restrict',
            mergeParams: false,
            bodyParsers: false,
          },
        ],
      },
    });
    gateway.service = service as unknown as GatewayService;
    const {server} = gateway.service;
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    return gateway;
  }

  /**
   * Makes the last response of each connection close it. Idle connections stay
   * open: closing one could abort a request that its caller has just sent.
   */
  beginStop(): void {
    this.stopping = true;
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {socket} = request;
    const newest = this.newestResponses.get(socket);
    const keepsAlive = response.shouldKeepAlive;
    if (this.stopping) {
      // The connection closes: callers resend what they pipelined after that.
      if (newest && closesConnection(newest)) return;
      if (newest) newest.response.shouldKeepAlive = newest.keepsAlive;
      response.shouldKeepAlive = false;
    }
    this.newestResponses.set(socket, {response, keepsAlive});
    await this.requestPath.handle(request, response);
  }
}

function closesConnection({response}: NewestResponse): boolean {
  return response.headersSent && !response.shouldKeepAlive;
}
