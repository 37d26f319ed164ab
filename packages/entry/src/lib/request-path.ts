/**
 * Handles one request from the caller's socket to the response, in this order:
 * key, route, team, rate limit, body, claim, queue, attempts, response.
 */
import type {
  ConfigurationSource,
  KeyStore,
  Service,
} from '@fireflytrack/configuration';
import type {ServerSelector} from '@fireflytrack/health';
import type {TeamLimiter} from '@fireflytrack/limits';
import type {DispatchOutcome, OnceRegistry} from '@fireflytrack/once';
import type {Logger, Metrics} from '@fireflytrack/telemetry';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Attempts} from './attempts.js';
import type {AttemptsOptions} from './attempts.js';
import type {Call, CallResult, ReceivedRequest} from './call.js';
import {findCallerKey, targetWithoutKey} from './caller-key.js';
import {buildForwardRequest, computeRequestDigest} from './forward-request.js';
import type {Forwarder, ForwardRequest} from './forwarder.js';
import {HedgeDelay} from './hedge-delay.js';
import {
  noServerRefusal,
  outcomeUnknownRefusal,
  toAttemptRefusal,
  toOnceRefusal,
} from './refusal-mapping.js';
import {sendRefusal} from './refusal.js';
import type {Refusal} from './refusal.js';
import {parseTarget} from './request-target.js';
import type {RetryAllowance} from './retry-allowance.js';
import {RouteTable} from './route-table.js';
import {RunningCalls} from './running-calls.js';
import {sendResponse} from './send-response.js';
import type {ServingGate} from './serving-state.js';
import type {WorkQueue} from './work-queue.js';

export interface RequestPathOptions {
  source: ConfigurationSource;
  keys: KeyStore;
  limiter: TeamLimiter;
  queue: WorkQueue;
  selector: ServerSelector;
  retries: RetryAllowance;
  once: OnceRegistry;
  forwarder: Forwarder;
  gate: ServingGate;
  logger: Logger;
  metrics: Metrics;
}

const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,128}$/;
const DEFAULT_RETRY_AFTER_MS = 1000;

export class RequestPath {
  private routes: RouteTable | undefined;
  private connectionsByService = new Map<string, number>();
  private readonly hedgeDelay = HedgeDelay.create();
  private readonly calls = RunningCalls.create();
  private inFlight = 0;

  private constructor(private readonly options: RequestPathOptions) {
    options.source.onChange(({configuration}) => {
      this.routes = RouteTable.create(configuration);
      const services = [...configuration.services.values()];
      this.divideConnections(services, configuration.maxInstances);
    });
    options.keys.onWithdrawn(keyId => this.calls.cancelAfterWithdrawal(keyId));
  }

  static create(options: RequestPathOptions): RequestPath {
    return new RequestPath(options);
  }

  /** Number of requests whose response is not yet closed. */
  get requestsInFlight(): number {
    return this.inFlight;
  }

  /** Cancels the remaining calls at the time limit of a planned shutdown. */
  cancelAll(): void {
    this.calls.cancelAll();
  }

  /** Handles one request; the promise never rejects. */
  async handle(received: ReceivedRequest): Promise<void> {
    const {requestId, response} = received;
    this.inFlight += 1;
    response.once('close', () => (this.inFlight -= 1));
    try {
      const refusal = await this.handleRequest(received);
      if (refusal) this.sendAndRecordRefusal(requestId, response, refusal);
    } catch (error) {
      const message = String(error);
      this.options.logger.error('request failed', {requestId, message});
      if (response.headersSent) response.destroy();
      else
        this.sendAndRecordRefusal(
          requestId,
          response,
          outcomeUnknownRefusal('internal error'),
        );
    }
  }

  private async handleRequest(received: ReceivedRequest): Promise<CallResult> {
    const {request} = received;
    const gateRefusal = this.checkServingGate();
    if (gateRefusal) return gateRefusal;
    const parsed = parseTarget(request.url ?? '');
    if (parsed.err) return parsed.val;
    const {path, query} = parsed.val;
    const presentedKey = findCallerKey(request.headers, query);
    if (presentedKey.err) return presentedKey.val;
    const authenticated = this.options.keys.authenticate(presentedKey.val);
    if (authenticated.err) {
      return authenticated.val.kind === 'withdrawn'
        ? {code: 'key_withdrawn', message: 'the team key was withdrawn'}
        : {code: 'key_unknown', message: 'the team key is not known'};
    }
    const {teamName, keyId} = authenticated.val;
    const route = this.routes?.match(request.method ?? '', path);
    if (!route) return {code: 'route_unknown', message: 'no route matches'};
    if (route.teams !== '*' && !route.teams.includes(teamName)) {
      const message = 'the team may not use this route';
      return {code: 'team_not_allowed', message};
    }
    const target = targetWithoutKey(path, query, presentedKey.val);
    if (target.err) return target.val;
    const admission = this.options.limiter.admit(teamName);
    const admitted = 'then' in admission ? await admission : admission;
    if (!admitted.admitted) {
      const {retryAfterMs} = admitted;
      const message = 'the team is over its rate';
      return {code: 'rate_exceeded', message, retryAfterMs};
    }
    const call: Call = {
      ...received,
      route,
      holder: {teamName, keyId},
      key: presentedKey.val,
      target: target.val,
      deadlineAtMs:
        performance.now() + computeDeadlineMs(route.deadlineMs, request),
    };
    return this.execute(call);
  }

  private async execute(call: Call): Promise<CallResult> {
    const {route, request, holder} = call;
    const idempotencyKey = request.headers['idempotency-key'];
    if (idempotencyKey !== undefined && route.execution === 'once') {
      if (!IDEMPOTENCY_KEY.test(String(idempotencyKey))) {
        const message = 'idempotency-key must be 1 to 128 printable characters';
        return {code: 'bad_request', message};
      }
    }
    this.recordMetricsOnClose(call);
    const forward = await buildForwardRequest(call);
    if (forward.err) return forward.val;
    const attempts = Attempts.create(
      call,
      forward.val,
      this.buildAttemptOptions(route),
    );
    const removeCall = this.calls.add(holder.keyId, () => attempts.cancelAll());
    try {
      if (route.execution === 'idempotent') {
        return await this.runIdempotent(call, attempts);
      }
      return await this.runOnce(call, forward.val, attempts, idempotencyKey);
    } finally {
      removeCall();
    }
  }

  private async runIdempotent(
    call: Call,
    attempts: Attempts,
  ): Promise<CallResult> {
    // When the caller disconnects, the backend server's slot is freed.
    const {abandoned} = call;
    if (abandoned.aborted) attempts.cancelAll();
    abandoned.addEventListener('abort', () => attempts.cancelAll());
    const slot = await this.enterQueue(call);
    if ('code' in slot) return slot;
    const result = await attempts.runIdempotent();
    slot.release();
    if (result === undefined)
      return noServerRefusal('no server is usable', undefined);
    if (result.kind === 'streamed' || result.kind === 'broken')
      return undefined;
    if (result.kind !== 'buffered') return toAttemptRefusal(result);
    sendResponse(call, result.response);
    return undefined;
  }

  /**
   * A disconnecting caller does not cancel a non-idempotent request: it runs to
   * completion, so that a retry with the same key receives the response.
   */
  private async runOnce(
    call: Call,
    forward: ForwardRequest,
    attempts: Attempts,
    idempotencyKey: string | string[] | undefined,
  ): Promise<CallResult> {
    const dispatch = () => this.dispatchOnce(call, attempts);
    if (idempotencyKey === undefined) {
      const outcome = await dispatch();
      if (outcome.kind === 'unknown')
        return outcomeUnknownRefusal(outcome.reason);
      if (outcome.kind === 'not-run') {
        return noServerRefusal(outcome.reason, outcome.retryAfterMs);
      }
      sendResponse(call, outcome.answer);
      return undefined;
    }
    const onceRequest = {
      teamName: call.holder.teamName,
      idempotencyKey: String(idempotencyKey),
      requestDigest: computeRequestDigest(forward),
      deadlineMs: Math.max(1, call.deadlineAtMs - performance.now()),
    };
    const stored = await this.options.once.run(onceRequest, dispatch);
    if (stored.err) return toOnceRefusal(stored.val);
    sendResponse(call, stored.val);
    return undefined;
  }

  private async dispatchOnce(
    call: Call,
    attempts: Attempts,
  ): Promise<DispatchOutcome> {
    const slot = await this.enterQueue(call);
    if ('code' in slot) {
      const {message, retryAfterMs} = slot;
      return {
        kind: 'not-run',
        reason: message,
        retryAfterMs: retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
      };
    }
    try {
      return await attempts.runOnce();
    } finally {
      slot.release();
    }
  }

  private async enterQueue(call: Call) {
    const {route, holder, deadlineAtMs} = call;
    const {queue} = this.options;
    const entered = queue.acquireSlot(
      route.service,
      holder.teamName,
      deadlineAtMs,
    );
    const slot = 'then' in entered ? await entered : entered;
    if (slot.ok) return slot.val;
    const isFull = slot.val.kind === 'queue-full';
    const refusal: Refusal = {
      code: isFull ? 'queue_full' : 'deadline_exceeded',
      message: isFull
        ? 'too many requests wait'
        : 'no slot before the deadline',
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    };
    return refusal;
  }

  private recordMetricsOnClose(call: Call): void {
    const {metrics, logger} = this.options;
    const {response, requestId, route, holder} = call;
    const startedAtMs = performance.now();
    response.once('close', () => {
      const latencyMs = performance.now() - startedAtMs;
      const status = response.statusCode;
      const isComplete = response.writableFinished;
      const outcome = isComplete ? `${Math.floor(status / 100)}xx` : 'broken';
      const team = holder.teamName;
      const {service} = route;
      metrics.count('requests', {service, team, outcome});
      metrics.timing('request_ms', latencyMs, {service});
      if (!logger.isDebugEnabled()) return;
      const fields = {requestId, team, route: route.name, status, latencyMs};
      logger.debug(isComplete ? 'answered' : 'response aborted', fields);
    });
  }

  private buildAttemptOptions(route: Call['route']): AttemptsOptions {
    const {selector, forwarder, retries} = this.options;
    const connections = this.connectionsByService.get(route.service) ?? 1;
    const {hedgeDelay} = this;
    return {selector, forwarder, retries, hedgeDelay, connections};
  }

  private divideConnections(services: Service[], maxInstances: number): void {
    this.connectionsByService = new Map();
    const serverIds = new Set<string>();
    for (const service of services) {
      const connections = Math.floor(
        service.connectionsPerServer / maxInstances,
      );
      this.connectionsByService.set(service.name, Math.max(1, connections));
      for (const server of service.servers) serverIds.add(server.serverId);
    }
    this.options.forwarder.closeOtherPools(serverIds);
  }

  private checkServingGate(): CallResult {
    const state = this.options.gate.state();
    if (state === 'serving') return undefined;
    const retryAfterMs = DEFAULT_RETRY_AFTER_MS;
    return state === 'stopping'
      ? {code: 'stopping', message: 'the instance is stopping', retryAfterMs}
      : {code: 'not_fresh', message: 'the instance is cut off', retryAfterMs};
  }

  private sendAndRecordRefusal(
    requestId: string,
    response: ServerResponse,
    refusal: Refusal,
  ): void {
    const {code, message} = refusal;
    this.options.metrics.count('refusals', {code});
    this.options.logger.debug('refused', {requestId, code, reason: message});
    if (response.headersSent) response.destroy();
    else if (!response.destroyed) sendRefusal(response, requestId, refusal);
  }
}

function computeDeadlineMs(
  routeDeadlineMs: number,
  request: IncomingMessage,
): number {
  const requestedMs = Number(request.headers['x-deadline-ms']);
  return requestedMs > 0
    ? Math.min(requestedMs, routeDeadlineMs)
    : routeDeadlineMs;
}
