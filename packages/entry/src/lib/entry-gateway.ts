/** The HTTP server for callers (moleculer-web). */
import {CallerConnections, createCallerServer} from '@fireflytrack/callers';
import {randomUUID} from 'node:crypto';
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
const HTTP_OPTIONS = {
  headersTimeout: HEADERS_TIMEOUT_MS,
  requestTimeout: REQUEST_TIMEOUT_MS,
};

interface NewestResponse {
  response: ServerResponse;
  /** Whether the connection is kept after it, but for a stop. */
  keepsAlive: boolean;
}

interface GatewayService {
  server: Server;
  httpHandler(request: IncomingMessage, response: ServerResponse): void;
}

export class EntryGateway {
  private stopping = false;
  /** The response to the newest request of each connection. */
  private readonly newestResponses = new WeakMap<Socket, NewestResponse>();
  private readonly connections = CallerConnections.create();

  private constructor(private readonly requestPath: RequestPath) {}

  /** Registers the gateway with `broker`; it listens when the broker starts. */
  static create(
    broker: ServiceBroker,
    requestPath: RequestPath,
    options: EntryGatewayOptions,
  ): EntryGateway {
    const gateway = new EntryGateway(requestPath);
    const {connections} = gateway;
    broker.createService({
      name: 'entry',
      mixins: [ApiGateway],
      methods: {
        createServer(this: GatewayService) {
          const {httpHandler: handle} = this;
          this.server = createCallerServer({
            http: HTTP_OPTIONS,
            connections,
            handle,
          });
        },
      },
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
    const connection = this.connections.getOrCreate(socket);
    const requestId = randomUUID();
    const openRequest = connection.open(requestId, response);
    if (!openRequest) return;
    const abandoned = openRequest.abandoned.signal;
    await this.requestPath.handle({requestId, request, response, abandoned});
    connection.discardRest(request, response);
  }
}

function closesConnection({response}: NewestResponse): boolean {
  return response.headersSent && !response.shouldKeepAlive;
}
