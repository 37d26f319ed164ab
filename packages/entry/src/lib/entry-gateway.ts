/** The HTTP server towards callers, by moleculer-web. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {ServiceBroker} from 'moleculer';
import ApiGateway from 'moleculer-web';
import {sendRefusal} from './refusal.js';
import type {RequestPath} from './request-path.js';

export interface EntryGatewayOptions {
  host: string;
  port: number;
  /** Whether what this instance knows is fresh enough to serve by. */
  mayServe(): boolean;
}

// A caller that has not sent its whole head or request by then is cut off, so
// that slow senders do not hold connections.
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const NOT_FRESH_RETRY_AFTER_MS = 1000;

interface GatewayService {
  server: Server;
}

export class EntryGateway {
  private service: GatewayService | undefined;
  private stopping = false;

  private constructor(
    private readonly requestPath: RequestPath,
    private readonly options: EntryGatewayOptions,
  ) {}

  /** Registers the gateway with `broker`; it listens once the broker starts. */
  static create(
    broker: ServiceBroker,
    requestPath: RequestPath,
    options: EntryGatewayOptions,
  ): EntryGateway {
    const gateway = new EntryGateway(requestPath, options);
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

  /** From now on each answer closes its connection. */
  beginStop(): void {
    this.stopping = true;
    this.service?.server.closeIdleConnections();
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.stopping) response.setHeader('connection', 'close');
    if (!this.options.mayServe()) {
      sendRefusal(response, randomUUID(), {
        code: 'not_fresh',
        message: 'this instance may hold an old configuration',
        retryAfterMs: NOT_FRESH_RETRY_AFTER_MS,
      });
      return;
    }
    return this.requestPath.handle(request, response);
  }
}
