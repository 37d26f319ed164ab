/**
 * The way of one request through the process: connection, freshness, route,
 * team, rate, body, server, answer.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {PolicyTable, TeamPolicy, TrafficRoute} from '@fireflytrack/policy';
import type {BoundedLog} from '@fireflytrack/telemetry';
import {endToEndHeaders} from '@fireflytrack/upstream';
import type {
  AttemptReport,
  HeaderNames,
  RequestBody,
  Upstream,
  UpstreamOutcome,
  UpstreamRequest,
} from '@fireflytrack/upstream';
import type {RateLimiter} from '@fireflytrack/zone';
import type {CallerConnections, OpenRequest} from './caller-connection.js';
import {readRequestBody} from './caller-body.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {PolicyHolder} from './policy-holder.js';
import type {Rejection} from './rejection.js';
import {sendUpstreamResponse, sendRejection} from './send-response.js';

export interface RequestHandlerOptions {
  connections: CallerConnections;
  policies: PolicyHolder;
  upstream: Upstream;
  limiter: RateLimiter;
  headerNames: HeaderNames;
  /** Header that carries the key, and the scheme before it. */
  keyHeader: string;
  keyScheme: string;
  /** Oldest confirmation of the policy with which keys are accepted. */
  keyFreshnessMs: number;
  /** Oldest confirmation with which a route or key is said to be unknown. */
  denialFreshnessMs: number;
  metrics: GatewayMetrics;
  log: BoundedLog;
}

/** A request that was admitted. */
interface AdmittedRequest {
  route: TrafficRoute;
  team: TeamPolicy | undefined;
  table: PolicyTable;
  deadlineAtMs: number;
}

/** What the log line of a request tells. */
interface RequestTrace {
  requestId: string;
  startedAtMs: number;
  route?: TrafficRoute | undefined;
  team?: TeamPolicy | undefined;
  attempts: AttemptReport[];
}

type Admission =
  | {ok: true; value: AdmittedRequest}
  | {ok: false; value: Rejection};

// A request waits this long for the confirmation that the policy is fresh; a
// read of the store takes some 20 ms when nothing is wrong.
const FRESHNESS_WAIT_MS = 400;
const DEFAULT_RETRY_AFTER_MS = 500;
// The caller comes back on a new connection, which another instance takes.
const STOPPING_RETRY_AFTER_MS = 50;
const MESSAGE_ANSWERED = 'request answered';
const MESSAGE_ANSWERED_WITH_PROBLEMS = 'request answered with trouble';

export class RequestHandler {
  private openRequestCount = 0;
  private stopping = false;
  private refusing = false;

  private constructor(private readonly options: RequestHandlerOptions) {}

  static create(options: RequestHandlerOptions): RequestHandler {
    return new RequestHandler(options);
  }

  get requestsInFlight(): number {
    return this.openRequestCount;
  }

  /** From now on the last answer of each connection closes it. */
  beginStop(): void {
    this.stopping = true;
  }

  /** New requests could not be served to their end any more. */
  refuseNew(): void {
    this.refusing = true;
  }

  /** Serves one request; never rejects. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const connection = this.options.connections.getOrCreate(request.socket);
    const call = connection.open(response);
    if (!call) return;
    this.openRequestCount += 1;
    const trace = this.startTrace(request);
    try {
      const outcome = await this.serve(request, call, trace);
      if (this.stopping) connection.closeAfter(call);
      await this.respond(call, outcome, trace);
    } catch (error) {
      const reason = String(error);
      const {requestId} = trace;
      this.options.log.write('error', 'request failed', {requestId, reason});
      response.destroy();
    } finally {
      this.openRequestCount -= 1;
      connection.finish(call);
      // What is left of a body that nobody wants must not block the next
      // request of the connection.
      request.resume();
    }
  }

  private startTrace(request: IncomingMessage): RequestTrace {
    const {requestId} = this.options.headerNames;
    return {
      requestId: String(request.headers[requestId] ?? ''),
      startedAtMs: performance.now(),
      attempts: [],
    };
  }

  private async serve(
    request: IncomingMessage,
    call: OpenRequest,
    trace: RequestTrace,
  ): Promise<UpstreamOutcome | Rejection> {
    if (this.refusing) {
      const reason = 'the instance is about to stop';
      return {code: 'not-run', reason, retryAfterMs: STOPPING_RETRY_AFTER_MS};
    }
    const admission = await this.admit(request, trace.startedAtMs);
    if (!admission.ok) return admission.value;
    const {route, team, table, deadlineAtMs} = admission.value;
    trace.route = route;
    trace.team = team;
    const read = await readRequestBody(
      request,
      table.policy.callerLimits.maxBodyBytes,
      deadlineAtMs,
    );
    if (read.kind === 'too-large') {
      return {code: 'body-too-large', reason: 'body over the limit'};
    }
    if (read.kind === 'too-slow') {
      // The rest of the body stands between this request and the next.
      call.response.shouldKeepAlive = false;
      return {code: 'body-too-slow', reason: 'the body took too long'};
    }
    if (read.kind === 'abandoned') return {kind: 'abandoned', attempts: []};
    const limited = await this.checkRateLimit(team);
    if (limited) return limited;
    const outcome = await this.options.upstream.run({
      service: table.chooseService(route),
      request: this.toUpstreamRequest(request, read.body),
      team: team?.name,
      isIdempotent: route.execution === 'idempotent',
      maxAttempts: route.maxAttempts,
      targetLatencyMs: route.targetLatencyMs,
      deadlineAtMs,
      abandoned: call.abandoned.signal,
    });
    if (team && outcome.kind === 'not-run') this.options.limiter.giveBack(team);
    return outcome;
  }

  private async admit(
    request: IncomingMessage,
    startedAtMs: number,
  ): Promise<Admission> {
    const {policies, denialFreshnessMs} = this.options;
    const first = this.matchPolicy(request, startedAtMs);
    if (first.ok) return this.requireFreshPolicy(request, startedAtMs, first);
    const {code} = first.value;
    if (code !== 'route-unknown' && code !== 'key-unknown') return first;
    // The change that allows the request may be on its way.
    if (!(await policies.ensureFresh(denialFreshnessMs, FRESHNESS_WAIT_MS))) {
      return rejectAsNotFresh(
        'the request is not known here, and the policy is old',
      );
    }
    return this.matchPolicy(request, startedAtMs);
  }

  /** Keys are accepted only while the policy is confirmed. */
  private async requireFreshPolicy(
    request: IncomingMessage,
    startedAtMs: number,
    admission: Admission,
  ): Promise<Admission> {
    const {policies, keyFreshnessMs} = this.options;
    if (!admission.ok || !admission.value.team) return admission;
    if (policies.lease.ageMs() <= keyFreshnessMs) return admission;
    if (await policies.ensureFresh(keyFreshnessMs, FRESHNESS_WAIT_MS)) {
      return this.matchPolicy(request, startedAtMs);
    }
    return rejectAsNotFresh('the policy could not be confirmed in time');
  }

  private matchPolicy(
    request: IncomingMessage,
    startedAtMs: number,
  ): Admission {
    const {headerNames} = this.options;
    const table = this.options.policies.current();
    if (!table) return rejectAsNotFresh('no policy is known yet');
    const {maxHeaderBytes} = table.policy.callerLimits;
    if (countHeaderBytes(request) > maxHeaderBytes) {
      return rejectAs('headers-too-large', 'headers over the limit');
    }
    const url = request.url ?? '';
    if (!url.startsWith('/')) return rejectAs('bad-request', 'no path');
    if (request.headers[headerNames.requestId] === undefined) {
      return rejectAs('bad-request', 'the request has no id');
    }
    const route = table.matchRoute(parseHost(request), stripQuery(url));
    if (!route) return rejectAs('route-unknown', 'no route matches');
    const team = this.findTeam(request, table);
    if (!team && table.needsKeys && !route.open) {
      return rejectAs('key-unknown', 'no team holds the key');
    }
    const requestedMs = Number(request.headers[headerNames.deadlineMs]);
    const waitMs =
      requestedMs > 0
        ? Math.min(requestedMs, route.timeoutMs)
        : route.timeoutMs;
    const deadlineAtMs = startedAtMs + waitMs;
    const value = {
      route,
      team: route.open ? undefined : team,
      table,
      deadlineAtMs,
    };
    return {ok: true, value};
  }

  private findTeam(
    request: IncomingMessage,
    table: PolicyTable,
  ): TeamPolicy | undefined {
    const {keyHeader, keyScheme} = this.options;
    const value = request.headers[keyHeader];
    if (typeof value !== 'string') return undefined;
    const prefix = `${keyScheme} `;
    if (!value.toLowerCase().startsWith(prefix.toLowerCase())) return undefined;
    return table.findTeamByKey(value.slice(prefix.length).trim());
  }

  private async checkRateLimit(
    team: TeamPolicy | undefined,
  ): Promise<Rejection | undefined> {
    if (!team) return undefined;
    const admitted = await this.options.limiter.admit(team);
    if (admitted.admitted) return undefined;
    const {retryAfterMs} = admitted;
    if (admitted.reason === 'no-leader') {
      const reason = 'nobody who grants the rate of the team is reached';
      return {code: 'not-run', reason, retryAfterMs};
    }
    const reason = `team ${team.name} is over its rate`;
    return {code: 'over-rate', reason, retryAfterMs};
  }

  private toUpstreamRequest(
    request: IncomingMessage,
    body: RequestBody,
  ): UpstreamRequest {
    const {headerNames, keyHeader} = this.options;
    const dropped = new Set([
      keyHeader,
      headerNames.deadlineMs,
      headerNames.expectedServer,
      headerNames.team,
    ]);
    return {
      requestId: String(request.headers[headerNames.requestId]),
      method: request.method ?? 'GET',
      target: request.url ?? '/',
      headers: endToEndHeaders(request.rawHeaders, dropped),
      body,
    };
  }

  private async respond(
    call: OpenRequest,
    outcome: UpstreamOutcome | Rejection,
    trace: RequestTrace,
  ): Promise<void> {
    const {response} = call;
    if ('code' in outcome) {
      sendRejection(response, outcome);
      this.recordOutcome(outcome.code, `rejected ${outcome.code}`, trace, {
        reason: outcome.reason,
        retryAfterMs: outcome.retryAfterMs,
      });
      return;
    }
    trace.attempts = outcome.attempts;
    if (outcome.kind === 'answered') {
      const {answer, serverId: server} = outcome;
      const whole = await sendUpstreamResponse(response, answer);
      const {status} = answer;
      const plain = trace.attempts.length === 1 && status < 500 && whole;
      const kind = plain ? MESSAGE_ANSWERED : MESSAGE_ANSWERED_WITH_PROBLEMS;
      this.recordOutcome('answered', kind, trace, {status, server, whole});
      return;
    }
    if (outcome.kind === 'abandoned') {
      this.recordOutcome('caller-left', 'caller left', trace, {});
      return;
    }
    const rejection = toRejection(outcome);
    sendRejection(response, rejection);
    const {code, reason} = rejection;
    this.recordOutcome(code, `rejected ${code}`, trace, {reason});
  }

  /** One log line and the metrics of a request that ended. */
  private recordOutcome(
    outcome: string,
    kind: string,
    trace: RequestTrace,
    fields: Record<string, unknown>,
  ): void {
    const {log, metrics, policies} = this.options;
    const {requestId, startedAtMs, route, team, attempts} = trace;
    const tookMs = Math.round(performance.now() - startedAtMs);
    metrics.recordRequest(outcome, tookMs, attempts.length);
    log.write('info', kind, {
      requestId,
      route: route?.name,
      team: team?.name,
      ...fields,
      tookMs,
      tried: attempts.map(attempt => attempt.server),
      attempts,
      policyVersion: policies.current()?.version,
      policyAgeMs: Math.round(policies.lease.ageMs()),
    });
  }
}

function toRejection(
  outcome: Exclude<UpstreamOutcome, {kind: 'answered' | 'abandoned'}>,
): Rejection {
  switch (outcome.kind) {
    case 'not-run':
      return {
        code: 'not-run',
        reason: outcome.reason,
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      };
    case 'unknown':
      return {code: 'outcome-unknown', reason: outcome.reason};
    case 'deadline':
      return {code: 'deadline-passed', reason: 'no answer in time'};
  }
}

function rejectAs(code: Rejection['code'], reason: string): Admission {
  return {ok: false, value: {code, reason}};
}

function rejectAsNotFresh(reason: string): Admission {
  const retryAfterMs = DEFAULT_RETRY_AFTER_MS;
  return {ok: false, value: {code: 'not-fresh', reason, retryAfterMs}};
}

function parseHost(request: IncomingMessage): string {
  const host = request.headers.host ?? '';
  return host.replace(/:\d+$/, '').toLowerCase();
}

function stripQuery(url: string): string {
  const end = url.search(/[?#]/);
  return end < 0 ? url : url.slice(0, end);
}

function countHeaderBytes(request: IncomingMessage): number {
  // Two bytes each for the colon with its space and for the line end.
  const LINE_OVERHEAD_BYTES = 4;
  let bytes = (request.url ?? '').length;
  for (const text of request.rawHeaders) bytes += text.length;
  return bytes + (request.rawHeaders.length / 2) * LINE_OVERHEAD_BYTES;
}
