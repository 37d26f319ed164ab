/**
 * The administration API: JSON over HTTP on a separate port (moleculer-web).
 *
 * Every operation except the readiness check requires the administration
 * token, which is separate from team keys.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ServiceBroker} from 'moleculer';
import ApiGateway from 'moleculer-web';
import {
  errorResponse,
  gatewayErrorResponse,
  runHandler,
  sendAdminResponse,
} from './admin-response.js';
import type {AdminHandler, AdminRequest} from './admin-response.js';
import {configHandlers} from './admin-config.js';
import type {AdminConfigOptions} from './admin-config.js';
import {instanceHandlers} from './admin-instance.js';
import type {AdminInstanceOptions} from './admin-instance.js';
import {keyHandlers} from './admin-keys.js';
import type {AdminKeysOptions} from './admin-keys.js';

export interface AdminApiOptions
  extends AdminConfigOptions,
    AdminKeysOptions,
    AdminInstanceOptions {
  host: string;
  port: number;
  token: string;
  /** Whether the load balancer should send new connections to this instance. */
  isReady(): boolean;
}

const MAX_BODY = '16mb';

export class AdminApi {
  private constructor(private readonly options: AdminApiOptions) {}

  /** Registers the API with `broker`; it listens when the broker starts. */
  static create(broker: ServiceBroker, options: AdminApiOptions): AdminApi {
    const api = new AdminApi(options);
    const onError = (
      _request: IncomingMessage,
      response: ServerResponse,
      error: unknown,
    ) => sendAdminResponse(response, gatewayErrorResponse(error));
    broker.createService({
      name: 'admin',
      mixins: [ApiGateway],
      settings: {
        ip: options.host,
        port: options.port,
        logRequest: null,
        logResponse: null,
        onError,
        routes: [
          {
            path: '/',
            aliases: api.aliases(),
            mappingPolicy: 'restrict',
            bodyParsers: {json: {limit: MAX_BODY}},
            onError,
          },
        ],
      },
    });
    return api;
  }

  private aliases() {
    const {options} = this;
    const handlers = {
      ...configHandlers(options),
      ...keyHandlers(options),
      ...instanceHandlers(options),
    };
    const guarded = Object.entries(handlers).map(
      ([path, handler]) => [path, this.toAuthorizedEndpoint(handler)] as const,
    );
    const ready = this.toEndpoint(() => ({
      status: options.isReady() ? 200 : 503,
      body: {ready: options.isReady()},
    }));
    return {'GET /ready': ready, ...Object.fromEntries(guarded)};
  }

  private toEndpoint(handler: AdminHandler) {
    return async (request: AdminRequest, response: ServerResponse) =>
      sendAdminResponse(response, await runHandler(handler, request));
  }

  private toAuthorizedEndpoint(handler: AdminHandler) {
    return this.toEndpoint(request => {
      if (this.isAuthorized(request)) return handler(request);
      return errorResponse('unauthorized', 'administration token required');
    });
  }

  private isAuthorized(request: IncomingMessage): boolean {
    const presented = /^bearer\s+(\S+)$/i.exec(
      request.headers.authorization ?? '',
    );
    if (!presented) return false;
    const digest = (text: string) => createHash('sha256').update(text).digest();
    return timingSafeEqual(digest(presented[1]!), digest(this.options.token));
  }
}
