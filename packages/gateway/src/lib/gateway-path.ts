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
import type {CallerConnections, OpenCall} from './caller-connection.js';
import {readBody} from './caller-body.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {PolicyHolder} from './policy-holder.js';
import type {Rejection} from './rejection.js';
import {sendAnswer, sendRejection} from './send-answer.js';

export interface GatewayPathOptions {
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
interface Admitted {
  route: TrafficRoute;
  team: TeamPolicy | undefined;
  table: PolicyTable;
  deadlineAtMs: number;
}

/** What the log line of a request tells. */
interface Trace {
  requestId: string;
  startedAtMs: number;
  route?: TrafficRoute | undefined;
  team?: TeamPolicy | undefined;
  attempts: AttemptReport[];
}

type Admission = {ok: true; value: Admitted} | {ok: false; value: Rejection};

// A request waits this long for the confirmation that the policy is fresh; a
// read of the store takes some 20 ms when nothing is wrong.
const FRESH_WAIT_MS = 400;
const DEFAULT_RETRY_AFTER_MS = 500;
// The caller comes back on a new connection, which another instance takes.
const STOPPING_RETRY_MS = 50;
const ANSWERED = 'request answered';
const ANSWERED_WITH_TROUBLE = 'request answered with trouble';

export class GatewayPath {
  private openCalls = 0;
  private stopping = false;
  private refusing = false;

  private constructor(private readonly options: GatewayPathOptions) {}

  static create(options: GatewayPathOptions): GatewayPath {
    return new GatewayPath(options);
  }

  get requestsInFlight(): number {
    return this.openCalls;
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
    const connection = this.options.connections.of(request.socket);
    const call = connection.open(response);
    if (!call) return;
    this.openCalls += 1;
    const trace = this.traceOf(request);
    try {
      const outcome = await this.serve(request, call, trace);
      if (this.stopping) connection.closeAfter(call);
      await this.answer(call, outcome, trace);
    } catch (error) {
      const reason = String(error);
      const {requestId} = trace;
      this.options.log.write('error', 'request failed', {requestId, reason});
      response.destroy();
    } finally {
      this.openCalls -= 1;
      connection.finish(call);
      // What is left of a body that nobody wants must not block the next
      // request of the connection.
      request.resume();
    }
  }

  private traceOf(request: IncomingMessage): Trace {
    const {requestId} = this.options.headerNames;
    return {
      requestId: String(request.headers[requestId] ?? ''),
      startedAtMs: performance.now(),
      attempts: [],
    };
  }

  private async serve(
    request: IncomingMessage,
    call: OpenCall,
    trace: Trace,
  ): Promise<UpstreamOutcome | Rejection> {
    if (this.refusing) {
      const reason = 'the instance is about to stop';
      return {code: 'not-run', reason, retryAfterMs: STOPPING_RETRY_MS};
    }
    const admission = await this.admit(request, trace.startedAtMs);
    if (!admission.ok) return admission.value;
    const {route, team, table, deadlineAtMs} = admission.value;
    trace.route = route;
    trace.team = team;
    const read = await readBody(
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
    const limited = await this.takeRate(team);
    if (limited) return limited;
    const outcome = await this.options.upstream.run({
      service: table.serviceFor(route),
      request: this.upstreamRequest(request, read.body),
      team: team?.name,
      repeatable: route.execution === 'idempotent',
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
    const first = this.lookUp(request, startedAtMs);
    if (first.ok) return this.whileFresh(request, startedAtMs, first);
    const {code} = first.value;
    if (code !== 'route-unknown' && code !== 'key-unknown') return first;
    // The change that allows the request may be on its way.
    if (!(await policies.ensureFresh(denialFreshnessMs, FRESH_WAIT_MS))) {
      return notFresh('the request is not known here, and the policy is old');
    }
    return this.lookUp(request, startedAtMs);
  }

  /** Keys are accepted only while the policy is confirmed. */
  private async whileFresh(
    request: IncomingMessage,
    startedAtMs: number,
    admission: Admission,
  ): Promise<Admission> {
    const {policies, keyFreshnessMs} = this.options;
    if (!admission.ok || !admission.value.team) return admission;
    if (policies.lease.ageMs() <= keyFreshnessMs) return admission;
    if (await policies.ensureFresh(keyFreshnessMs, FRESH_WAIT_MS)) {
      return this.lookUp(request, startedAtMs);
    }
    return notFresh('the policy could not be confirmed in time');
  }

  private lookUp(request: IncomingMessage, startedAtMs: number): Admission {
    const {headerNames} = this.options;
    const table = this.options.policies.current();
    if (!table) return notFresh('no policy is known yet');
    const {maxHeaderBytes} = table.policy.callerLimits;
    if (headerBytes(request) > maxHeaderBytes) {
      return rejected('headers-too-large', 'headers over the limit');
    }
    const url = request.url ?? '';
    if (!url.startsWith('/')) return rejected('bad-request', 'no path');
    if (request.headers[headerNames.requestId] === undefined) {
      return rejected('bad-request', 'the request has no id');
    }
    const route = table.match(hostOf(request), pathOf(url));
    if (!route) return rejected('route-unknown', 'no route matches');
    const team = this.teamOf(request, table);
    if (!team && table.needsKeys && !route.open) {
      return rejected('key-unknown', 'no team holds the key');
    }
    const askedMs = Number(request.headers[headerNames.deadlineMs]);
    const waitMs =
      askedMs > 0 ? Math.min(askedMs, route.timeoutMs) : route.timeoutMs;
    const deadlineAtMs = startedAtMs + waitMs;
    const value = {
      route,
      team: route.open ? undefined : team,
      table,
      deadlineAtMs,
    };
    return {ok: true, value};
  }

  private teamOf(
    request: IncomingMessage,
    table: PolicyTable,
  ): TeamPolicy | undefined {
    const {keyHeader, keyScheme} = this.options;
    const value = request.headers[keyHeader];
    if (typeof value !== 'string') return undefined;
    const prefix = `${keyScheme} `;
    if (!value.toLowerCase().startsWith(prefix.toLowerCase())) return undefined;
    return table.teamOf(value.slice(prefix.length).trim());
  }

  private async takeRate(
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

  private upstreamRequest(
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

  private async answer(
    call: OpenCall,
    outcome: UpstreamOutcome | Rejection,
    trace: Trace,
  ): Promise<void> {
    const {response} = call;
    if ('code' in outcome) {
      sendRejection(response, outcome);
      this.tell(outcome.code, `rejected ${outcome.code}`, trace, {
        reason: outcome.reason,
        retryAfterMs: outcome.retryAfterMs,
      });
      return;
    }
    trace.attempts = outcome.attempts;
    if (outcome.kind === 'answered') {
      const {answer, serverId: server} = outcome;
      const whole = await sendAnswer(response, answer);
      const {status} = answer;
      const plain = trace.attempts.length === 1 && status < 500 && whole;
      const kind = plain ? ANSWERED : ANSWERED_WITH_TROUBLE;
      this.tell('answered', kind, trace, {status, server, whole});
      return;
    }
    if (outcome.kind === 'abandoned') {
      this.tell('caller-left', 'caller left', trace, {});
      return;
    }
    const rejection = rejectionOf(outcome);
    sendRejection(response, rejection);
    const {code, reason} = rejection;
    this.tell(code, `rejected ${code}`, trace, {reason});
  }

  /** One log line and the metrics of a request that ended. */
  private tell(
    outcome: string,
    kind: string,
    trace: Trace,
    fields: Record<string, unknown>,
  ): void {
    const {log, metrics, policies} = this.options;
    const {requestId, startedAtMs, route, team, attempts} = trace;
    const tookMs = Math.round(performance.now() - startedAtMs);
    metrics.requestEnded(outcome, tookMs, attempts.length);
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

function rejectionOf(
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

function rejected(code: Rejection['code'], reason: string): Admission {
  return {ok: false, value: {code, reason}};
}

function notFresh(reason: string): Admission {
  const retryAfterMs = DEFAULT_RETRY_AFTER_MS;
  return {ok: false, value: {code: 'not-fresh', reason, retryAfterMs}};
}

function hostOf(request: IncomingMessage): string {
  const host = request.headers.host ?? '';
  return host.replace(/:\d+$/, '').toLowerCase();
}

function pathOf(url: string): string {
  const end = url.search(/[?#]/);
  return end < 0 ? url : url.slice(0, end);
}

function headerBytes(request: IncomingMessage): number {
  // Two bytes each for the colon with its space and for the line end.
  const LINE_OVERHEAD_BYTES = 4;
  let bytes = (request.url ?? '').length;
  for (const text of request.rawHeaders) bytes += text.length;
  return bytes + (request.rawHeaders.length / 2) * LINE_OVERHEAD_BYTES;
}
