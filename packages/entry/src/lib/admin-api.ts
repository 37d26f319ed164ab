/**
 * The administration API: JSON over HTTP on its own port, by moleculer-web.
 *
 * Every operation but the readiness check needs the administration token,
 * which is separate from team keys.
 */
import type {
  ConfigurationError,
  ConfigurationRepository,
  ConfigurationSource,
} from '@fireflytrack/configuration';
import type {Result} from '@fireflytrack/result';
import type {StateDump} from '@fireflytrack/telemetry';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ServiceBroker} from 'moleculer';
import ApiGateway from 'moleculer-web';
import {z} from 'zod';

export interface AdminApiOptions {
  host: string;
  port: number;
  token: string;
  repository: ConfigurationRepository;
  source: ConfigurationSource;
  dump: StateDump;
  /** Whether the balancer should send new connections here. */
  isReady(): boolean;
  /** Starts a planned stop. */
  drain(): void;
}

type ParsedRequest = IncomingMessage & {
  body?: unknown;
  $params?: Record<string, unknown>;
};
type Handler = (request: ParsedRequest) => Promise<AdminAnswer> | AdminAnswer;

interface AdminAnswer {
  status: number;
  body: unknown;
}

const applySchema = z.object({
  text: z.string(),
  baseVersion: z.number().int().nonnegative(),
  changeId: z.string().min(1).max(128),
});
const issueSchema = z.object({team: z.string()});
const keyIdSchema = z.object({keyId: z.string()});

const MAX_BODY = '16mb';

const ERROR_STATUS: Record<ConfigurationError['kind'], number> = {
  conflict: 409,
  invalid: 422,
  'store-unavailable': 503,
  'outcome-unknown': 504,
};

export class AdminApi {
  private constructor(private readonly options: AdminApiOptions) {}

  /** Registers the API with `broker`; it listens once the broker starts. */
  static create(broker: ServiceBroker, options: AdminApiOptions): AdminApi {
    const api = new AdminApi(options);
    broker.createService({
      name: 'admin',
      mixins: [ApiGateway],
      settings: {
        ip: options.host,
        port: options.port,
        logRequest: null,
        logResponse: null,
        routes: [
          {
            path: '/',
            aliases: api.aliases(),
            mappingPolicy: 'restrict',
            bodyParsers: {json: {limit: MAX_BODY}},
          },
        ],
      },
    });
    return api;
  }

  private aliases() {
    const {options} = this;
    return {
      'GET /ready': this.open(() => ({
        status: options.isReady() ? 200 : 503,
        body: {ready: options.isReady()},
      })),
      'GET /v1/config': this.guarded(() => this.showConfiguration()),
      'PUT /v1/config': this.guarded(request => this.apply(request)),
      'GET /v1/keys': this.guarded(() => this.listKeys()),
      'POST /v1/keys': this.guarded(request => this.issueKey(request)),
      'POST /v1/keys/:keyId/withdraw': this.guarded(request =>
        this.withdrawKey(request),
      ),
      'GET /v1/dump': this.guarded(() => ({
        status: 200,
        body: options.dump.collect(),
      })),
      'POST /v1/drain': this.guarded(() => {
        options.drain();
        return {status: 202, body: {draining: true}};
      }),
    };
  }

  private open(handler: Handler) {
    return async (request: ParsedRequest, response: ServerResponse) => {
      const answer = await runHandler(handler, request);
      const body = JSON.stringify(answer.body);
      response.writeHead(answer.status, {'content-type': 'application/json'});
      response.end(body);
    };
  }

  private guarded(handler: Handler) {
    return this.open(request => {
      if (this.authorized(request)) return handler(request);
      return {status: 401, body: {error: 'administration token required'}};
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

  private async showConfiguration(): Promise<AdminAnswer> {
    const {repository, source} = this.options;
    const head = await repository.readHead();
    if (head.err) return {status: 503, body: {error: head.val.message}};
    if (!head.val) return {status: 200, body: {version: 0, text: ''}};
    const text = await repository.readText(head.val.objectKey);
    if (text.err) return {status: 503, body: {error: text.val.message}};
    const {version, hash} = head.val;
    const inUseHere = source.current()?.version ?? 0;
    return {status: 200, body: {version, hash, inUseHere, text: text.val}};
  }

  private async apply(request: ParsedRequest): Promise<AdminAnswer> {
    const change = applySchema.parse(request.body);
    const applied = await this.options.repository.apply(change);
    return answerOf(applied, version => ({version}));
  }

  private async listKeys(): Promise<AdminAnswer> {
    const keys = await this.options.repository.readKeys();
    if (keys.err) return {status: 503, body: {error: keys.val.message}};
    const body = keys.val.map(({keyId, teamName, withdrawn}) => ({
      keyId,
      team: teamName,
      withdrawn,
    }));
    return {status: 200, body: {keys: body}};
  }

  private async issueKey(request: ParsedRequest): Promise<AdminAnswer> {
    const {team} = issueSchema.parse(request.body);
    const key = await this.options.repository.issueKey(team);
    return answerOf(key, text => ({key: text}));
  }

  private async withdrawKey(request: ParsedRequest): Promise<AdminAnswer> {
    const {keyId} = keyIdSchema.parse(request.$params);
    const done = await this.options.repository.withdrawKey(keyId);
    return answerOf(done, () => ({withdrawn: keyId}));
  }
}

async function runHandler(
  handler: Handler,
  request: ParsedRequest,
): Promise<AdminAnswer> {
  try {
    return await handler(request);
  } catch (error) {
    if (error instanceof z.ZodError) {
      const issue = error.issues[0];
      const message = `${issue?.path.join('.')}: ${issue?.message}`;
      return {status: 400, body: {error: message}};
    }
    return {status: 500, body: {error: 'internal error'}};
  }
}

function answerOf<T>(
  result: Result<T, ConfigurationError>,
  body: (value: T) => unknown,
): AdminAnswer {
  if (result.ok) return {status: 200, body: body(result.val)};
  const {kind, message} = result.val;
  const details =
    result.val.kind === 'conflict'
      ? {currentVersion: result.val.currentVersion}
      : {};
  return {status: ERROR_STATUS[kind], body: {error: message, kind, ...details}};
}
