/**
 * The administration API: JSON over HTTP on its own port, by moleculer-web.
 *
 * Every operation but the readiness check needs the administration token,
 * which is separate from team keys.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ServiceBroker} from 'moleculer';
import ApiGateway from 'moleculer-web';
import {
  adminError,
  gatewayError,
  runHandler,
  sendAnswer,
} from './admin-answer.js';
import type {AdminHandler, AdminRequest} from './admin-answer.js';
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
  /** Whether the balancer should send new connections here. */
  isReady(): boolean;
}

const MAX_BODY = '16mb';

export class AdminApi {
  private constructor(private readonly options: AdminApiOptions) {}

  /** Registers the API with `broker`; it listens once the broker starts. */
  static create(broker: ServiceBroker, options: AdminApiOptions): AdminApi {
    const api = new AdminApi(options);
    const onError = (
      _request: IncomingMessage,
      response: ServerResponse,
      error: unknown,
    ) => sendAnswer(response, gatewayError(error));
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
      ([path, handler]) => [path, this.guarded(handler)] as const,
    );
    const ready = this.open(() => ({
      status: options.isReady() ? 200 : 503,
      body: {ready: options.isReady()},
    }));
    return {'GET /ready': ready, ...Object.fromEntries(guarded)};
  }

  private open(handler: AdminHandler) {
    return async (request: AdminRequest, response: ServerResponse) =>
      sendAnswer(response, await runHandler(handler, request));
  }

  private guarded(handler: AdminHandler) {
    return this.open(request => {
      if (this.authorized(request)) return handler(request);
      return adminError('unauthorized', 'administration token required');
    });
  }

  private authorized(request: IncomingMessage): boolean {
    const presented = /^bearer\s+(\S+)$/i.exec(
      request.headers.authorization ?? '',
    );
    if (!presented) return false;
    const digest = (text: string) => createHash('sha256').update(text).digest();
    return timingSafeEqual(digest(presented[1]!), digest(this.options.token));
  }
}
