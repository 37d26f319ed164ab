/**
 * The way of one request, from the caller's socket to the answer:
 * route, key, team, rate, claim, server, attempt, answer.
 */
import type {
  ConfigurationSource,
  KeyHolder,
  KeyStore,
  Route,
} from '@fireflytrack/configuration';
import type {
  Selection,
  ServerOutcome,
  ServerSelector,
} from '@fireflytrack/health';
import type {TeamLimiter} from '@fireflytrack/limits';
import type {
  DispatchOutcome,
  OnceError,
  OnceRegistry,
  StoredAnswer,
} from '@fireflytrack/once';
import type {Logger, Metrics} from '@fireflytrack/telemetry';
import {createHash, randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AttemptResult} from './attempt-result.js';
import {
  headersWithoutKey,
  presentedKey,
  targetWithoutKey,
} from './caller-key.js';
import type {Forwarder, ForwardRequest} from './forwarder.js';
import {sendRefusal} from './refusal.js';
import type {Refusal} from './refusal.js';
import {readRequestBody} from './request-body.js';
import type {RequestBody} from './request-body.js';
import {RouteTable} from './route-table.js';

export interface RequestPathOptions {
  source: ConfigurationSource;
  keys: KeyStore;
  limiter: TeamLimiter;
  selector: ServerSelector;
  once: OnceRegistry;
  forwarder: Forwarder;
  logger: Logger;
  metrics: Metrics;
}

interface CallContext {
  requestId: string;
  route: Route;
  holder: KeyHolder;
  key: string;
  request: IncomingMessage;
  response: ServerResponse;
  deadlineAtMs: number;
}

const HOLD_REQUEST_BYTES = 65_536;
const MAX_ATTEMPTS = 3;
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,128}$/;

export class RequestPath {
  private routes: RouteTable | undefined;
  private connectionsByService = new Map<string, number>();
  /** Requests whose answer has not ended yet. */
  inFlight = 0;

  private constructor(private readonly options: RequestPathOptions) {
    options.source.onChange(({configuration}) => {
      this.routes = RouteTable.create(configuration);
      const servers = new Set<string>();
      for (const service of configuration.services.values()) {
        const share = service.connectionsPerServer / configuration.maxInstances;
        const connections = Math.max(1, Math.floor(share));
        this.connectionsByService.set(service.name, connections);
        for (const server of service.servers) servers.add(server.serverId);
      }
      options.forwarder.retain(servers);
    });
  }

  static create(options: RequestPathOptions): RequestPath {
    return new RequestPath(options);
  }

  /** Serves one request; never rejects. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.inFlight += 1;
    response.once('close', () => (this.inFlight -= 1));
    const requestId = randomUUID();
    try {
      const refusal = await this.serve(requestId, request, response);
      if (refusal) this.refuse(requestId, response, refusal);
    } catch (error) {
      const message = String(error);
      this.options.logger.error('request failed', {requestId, message});
      if (response.headersSent) response.destroy();
      else this.refuse(requestId, response, outcomeUnknown('internal error'));
    }
  }

  private async serve(
    requestId: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Refusal | undefined> {
    const {path, query} = splitTarget(request.url ?? '/');
    const key = presentedKey(request.headers, query);
    if (key.err) return key.val;
    const holder = this.options.keys.authenticate(key.val);
    if (holder.err) {
      return holder.val.kind === 'withdrawn'
        ? {code: 'key_withdrawn', message: 'the team key was withdrawn'}
        : {code: 'key_unknown', message: 'the team key is not known'};
    }
    const route = this.routes?.match(request.method ?? '', path);
    if (!route) return {code: 'route_unknown', message: 'no route matches'};
    if (route.teams !== '*' && !route.teams.includes(holder.val.teamName)) {
      const message = 'the team may not use this route';
      return {code: 'team_not_allowed', message};
    }
    const target = targetWithoutKey(path, query, key.val);
    if (target.err) return target.val;
    const admission = await this.options.limiter.admit(holder.val.teamName);
    if (!admission.admitted) {
      const {retryAfterMs} = admission;
      const message = 'the team is over its rate';
      return {code: 'rate_exceeded', message, retryAfterMs};
    }
    const context: CallContext = {
      requestId,
      route,
      holder: holder.val,
      key: key.val,
      request,
      response,
      deadlineAtMs: performance.now() + deadlineOf(route, request),
    };
    return this.execute(context, target.val);
  }

  private async execute(
    context: CallContext,
    target: string,
  ): Promise<Refusal | undefined> {
    const {route, request} = context;
    const once = route.execution === 'once';
    const idempotencyKey = request.headers['idempotency-key'];
    if (once && idempotencyKey !== undefined) {
      if (!IDEMPOTENCY_KEY.test(String(idempotencyKey))) {
        const message = 'idempotency-key must be 1 to 128 printable characters';
        return {code: 'bad_request', message};
      }
    }
    const body = await readRequestBody(request, {
      maxBytes: route.maxBodyBytes,
      holdBytes: once ? route.maxBodyBytes : HOLD_REQUEST_BYTES,
    });
    if (body.err) return body.val;
    if (
      body.val.kind === 'whole' &&
      bodyHoldsKey(body.val.bytes, context.key)
    ) {
      const message = 'the body must not contain a team key';
      return {code: 'bad_request', message};
    }
    const forward = this.forwardRequest(context, target, body.val);
    if (!once) return this.runIdempotent(context, forward);
    if (idempotencyKey === undefined) return this.runUnkeyed(context, forward);
    return this.runOnce(context, forward, String(idempotencyKey));
  }

  private forwardRequest(
    context: CallContext,
    target: string,
    body: RequestBody,
  ): ForwardRequest {
    const {route, request, requestId, deadlineAtMs} = context;
    const headers = headersWithoutKey(request.headers, context.key);
    headers['x-team'] = context.holder.teamName;
    return {
      requestId,
      method: request.method ?? 'GET',
      target,
      headers,
      body,
      deadlineAtMs,
      answerContentType: route.answerContentType,
      holdAnswer: route.execution === 'once',
    };
  }

  /** Tries other servers after failures while time remains. */
  private async runIdempotent(
    context: CallContext,
    forward: ForwardRequest,
  ): Promise<Refusal | undefined> {
    const excluded = new Set<string>();
    const attempts = forward.body.kind === 'stream' ? 1 : MAX_ATTEMPTS;
    let refusal: Refusal = {code: 'no_server', message: 'no server is usable'};
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      const result = await this.attempt(context, forward, excluded);
      if (result === undefined) return refusal;
      if (result.kind === 'held') {
        if (result.answer.status < 500 || attempt === attempts - 1) {
          sendAnswer(context, result.answer);
          return undefined;
        }
        refusal = {code: 'server_failed', message: 'backend server failed'};
        continue;
      }
      if (result.kind === 'streamed' || result.kind === 'broken') {
        return undefined;
      }
      refusal = refusalOf(result);
      if (performance.now() >= context.deadlineAtMs) return refusal;
    }
    return refusal;
  }

  private async runUnkeyed(
    context: CallContext,
    forward: ForwardRequest,
  ): Promise<Refusal | undefined> {
    const outcome = await this.dispatchOnce(context, forward);
    if (outcome.kind === 'answered') {
      sendAnswer(context, outcome.answer);
      return undefined;
    }
    if (outcome.kind === 'unknown') return outcomeUnknown(outcome.reason);
    return noServer(outcome.reason, outcome.retryAfterMs);
  }

  private async runOnce(
    context: CallContext,
    forward: ForwardRequest,
    idempotencyKey: string,
  ): Promise<Refusal | undefined> {
    const answer = await this.options.once.run(
      {
        teamName: context.holder.teamName,
        idempotencyKey,
        requestDigest: digestOf(forward),
        deadlineMs: Math.max(1, context.deadlineAtMs - performance.now()),
      },
      () => this.dispatchOnce(context, forward),
    );
    if (answer.err) return refusalOfOnceError(answer.val);
    sendAnswer(context, answer.val);
    return undefined;
  }

  /** Sends a non-idempotent request; a second server only if none got it. */
  private async dispatchOnce(
    context: CallContext,
    forward: ForwardRequest,
  ): Promise<DispatchOutcome> {
    const excluded = new Set<string>();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const result = await this.attempt(context, forward, excluded);
      if (result === undefined) break;
      if (result.kind === 'held')
        return {kind: 'answered', answer: result.answer};
      if (result.kind === 'declined') {
        const {retryAfterMs} = result;
        const reason = 'the backend server declined it';
        return {kind: 'not-run', reason, retryAfterMs: retryAfterMs ?? 1000};
      }
      if (result.kind !== 'failed' || result.mayHaveRun) {
        const reason =
          result.kind === 'failed' ? result.reason : 'broken answer';
        return {kind: 'unknown', reason};
      }
      if (result.cause === 'deadline' || result.cause === 'cancelled') break;
    }
    return {kind: 'not-run', reason: 'no server could be reached'};
  }

  private async attempt(
    context: CallContext,
    forward: ForwardRequest,
    excluded: Set<string>,
  ): Promise<AttemptResult | undefined> {
    const {selector, forwarder} = this.options;
    const {service} = context.route;
    const selected = selector.select(service, {excluded});
    if (selected.err) return undefined;
    const selection: Selection = selected.val;
    excluded.add(selection.server.serverId);
    const connections = this.connectionsByService.get(service) ?? 1;
    const startedAtMs = performance.now();
    const attempt = forwarder.attempt(
      selection.server,
      connections,
      forward,
      context.response,
    );
    const cancel = () => attempt.cancel();
    context.response.once('close', cancel);
    const result = await attempt.result;
    context.response.off('close', cancel);
    const latencyMs = performance.now() - startedAtMs;
    selection.settle({kind: outcomeKind(result), latencyMs});
    return result;
  }

  private refuse(
    requestId: string,
    response: ServerResponse,
    refusal: Refusal,
  ): void {
    this.options.metrics.count('refusals', {code: refusal.code});
    if (response.destroyed) return;
    sendRefusal(response, requestId, refusal);
  }
}

function splitTarget(url: string): {path: string; query: URLSearchParams} {
  const mark = url.indexOf('?');
  if (mark < 0) return {path: url, query: new URLSearchParams()};
  return {
    path: url.slice(0, mark),
    query: new URLSearchParams(url.slice(mark + 1)),
  };
}

function deadlineOf(route: Route, request: IncomingMessage): number {
  const asked = Number(request.headers['x-deadline-ms']);
  return asked > 0 ? Math.min(asked, route.deadlineMs) : route.deadlineMs;
}

function bodyHoldsKey(body: Buffer, key: string): boolean {
  return body.includes(key.slice(key.lastIndexOf('_') + 1));
}

function digestOf(forward: ForwardRequest): string {
  const hash = createHash('sha256');
  hash.update(`${forward.method} ${forward.target}\n`);
  if (forward.body.kind === 'whole') hash.update(forward.body.bytes);
  return hash.digest('hex');
}

function sendAnswer(context: CallContext, answer: StoredAnswer): void {
  const {response, request} = context;
  if (response.destroyed) return;
  const headers: Record<string, string> = {...answer.headers};
  headers['x-request-id'] = context.requestId;
  if (request.method !== 'HEAD' && answer.status !== 304) {
    headers['content-length'] = String(answer.body.length);
  }
  if (answer.status === 204) delete headers['content-length'];
  response.writeHead(answer.status, headers);
  response.end(request.method === 'HEAD' ? undefined : answer.body);
}

function outcomeKind(result: AttemptResult): ServerOutcome['kind'] {
  switch (result.kind) {
    case 'held':
      if (result.answer.status >= 500) return 'fault';
      return result.answer.status >= 400 ? 'caller-error' : 'ok';
    case 'streamed':
      return result.status >= 500 ? 'fault' : 'ok';
    case 'broken':
      return 'fault';
    case 'declined':
      return result.draining ? 'draining' : 'shed';
    case 'failed':
      if (result.cause === 'cancelled') return 'cancelled';
      return result.cause === 'invalid' ? 'invalid' : 'fault';
  }
}

function refusalOf(result: AttemptResult): Refusal {
  if (result.kind === 'declined') {
    return noServer('the backend server declined it', result.retryAfterMs);
  }
  if (result.kind !== 'failed') return outcomeUnknown('broken answer');
  if (result.mayHaveRun) {
    return {code: 'server_failed', message: 'the backend server failed'};
  }
  if (result.cause === 'deadline') {
    return {code: 'deadline_exceeded', message: 'not sent before the deadline'};
  }
  return noServer('no server could be reached', undefined);
}

function noServer(message: string, retryAfterMs: number | undefined): Refusal {
  return {code: 'no_server', message, retryAfterMs: retryAfterMs ?? 1000};
}

function outcomeUnknown(message: string): Refusal {
  return {code: 'outcome_unknown', message};
}

function refusalOfOnceError(error: OnceError): Refusal {
  const {message, retryAfterMs} = error;
  const details = {message, ...(retryAfterMs !== undefined && {retryAfterMs})};
  switch (error.kind) {
    case 'not-run':
      return {code: 'no_server', ...details};
    case 'unknown':
      return {code: 'outcome_unknown', ...details};
    case 'store-unavailable':
      return {code: 'claim_store_unavailable', ...details};
    case 'key-reused':
      return {code: 'key_reused', ...details};
    case 'key-expired':
      return {code: 'key_expired', ...details};
    case 'answer-gone':
      return {code: 'answer_gone', ...details};
    case 'in-progress':
      return {code: 'in_progress', ...details};
  }
}
