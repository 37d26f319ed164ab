/**
 * Handles one request of a caller: admits it by the policy, reads the body,
 * enforces the rate limit, sends the request to a backend server and returns the
 * response.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {
  CallerConnection,
  CallerConnections,
  OpenRequest,
} from '@fireflytrack/callers';
import type {TeamPolicy, TrafficRoute} from '@fireflytrack/policy';
import type {RateLimitedLog} from '@fireflytrack/telemetry';
import {INSTANCE_STOPS, endToEndHeaders} from '@fireflytrack/upstream';
import type {
  AttemptReport,
  RequestBody,
  Upstream,
  UpstreamOutcome,
  UpstreamRequest,
} from '@fireflytrack/upstream';
import type {RateLimiter} from '@fireflytrack/zone';
import type {BodyMemory} from './body-memory.js';
import {readRequestBody} from './caller-body.js';
import type {BodyResult} from './caller-body.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import {DEFAULT_RETRY_AFTER_MS} from './rejection.js';
import type {Rejection} from './rejection.js';
import {RequestAdmission} from './request-admission.js';
import type {
  AdmittedRequest,
  RequestAdmissionOptions,
} from './request-admission.js';
import {sendUpstreamResponse, sendRejection} from './send-response.js';
import type {StopSchedule} from './stop-schedule.js';

export interface RequestHandlerOptions extends RequestAdmissionOptions {
  connections: CallerConnections;
  upstream: Upstream;
  limiter: RateLimiter;
  bodyMemory: BodyMemory;
  metrics: GatewayMetrics;
  log: RateLimitedLog;
}

/** Data about a request for its log line. */
interface RequestTrace {
  requestId: string;
  startedAtMs: number;
  route?: TrafficRoute | undefined;
  team?: TeamPolicy | undefined;
  attempts: AttemptReport[];
  /** Servers that were not used because they are at their limits. */
  turnedAway: string[];
  /** Digest of a request that was suspected of crashing servers. */
  fingerprint?: string | undefined;
}

// Short, because the caller retries on a new connection, which the load balancer
// sends to another instance.
const STOPPING_RETRY_AFTER_MS = 50;
const MESSAGE_ANSWERED = 'request answered';
const MESSAGE_ANSWERED_WITH_PROBLEMS = 'request answered with trouble';

export class RequestHandler {
  private readonly openRequests = new Map<OpenRequest, RequestTrace>();
  /** Monotonic time until which a stop accepts requests of any deadline. */
  private acceptsAllUntilMs = Infinity;
  /** Monotonic time at which a stop gives up open requests. */
  private givesUpAtMs: number | undefined;
  private refusing = false;
  private readonly admission: RequestAdmission;

  private constructor(private readonly options: RequestHandlerOptions) {
    this.admission = RequestAdmission.create(options);
  }

  static create(options: RequestHandlerOptions): RequestHandler {
    return new RequestHandler(options);
  }

  get requestsInFlight(): number {
    return this.openRequests.size;
  }

  /** From now on, closes each connection after its last response. */
  beginStop(
    startedAtMs: number,
    {acceptsAllForMs, givesUpAfterMs}: StopSchedule,
  ): void {
    this.acceptsAllUntilMs = startedAtMs + acceptsAllForMs;
    this.givesUpAtMs = startedAtMs + givesUpAfterMs;
  }

  /** Rejects new requests, which could no longer be completed before the stop. */
  refuseNew(): void {
    this.refusing = true;
  }

  /** Answers the open requests whose response has not begun. */
  giveUpOpenRequests(): void {
    for (const [openRequest, trace] of this.openRequests) {
      if (openRequest.phase === 'server') {
        openRequest.abandoned.abort(INSTANCE_STOPS);
      } else if (
        openRequest.phase !== 'response' &&
        !openRequest.response.headersSent
      ) {
        this.rejectUnsent(openRequest, trace);
      }
    }
  }

  /** Serves one request and logs its outcome. The promise never rejects. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const connection = this.options.connections.getOrCreate(request.socket);
    const trace = this.startTrace(request);
    const openRequest = connection.open(trace.requestId, response);
    if (!openRequest) return;
    this.openRequests.set(openRequest, trace);
    try {
      const outcome = await this.serve(request, openRequest, trace);
      openRequest.phase = 'response';
      this.closeIfStopping(connection, openRequest);
      const heldBytes = countBufferedBytes(outcome);
      if (heldBytes !== undefined) {
        await connection.waitForTurn(openRequest, heldBytes);
        this.closeIfStopping(connection, openRequest);
      }
      await this.respond(openRequest, outcome, trace);
    } catch (error) {
      const reason = String(error);
      const {requestId} = trace;
      this.options.log.write('error', 'request failed', {requestId, reason});
      this.respondToFault(openRequest);
    } finally {
      this.openRequests.delete(openRequest);
      // An unread body would block the next request on the connection.
      connection.discardRest(request, response);
    }
  }

  private closeIfStopping(
    connection: CallerConnection,
    openRequest: OpenRequest,
  ): void {
    if (this.givesUpAtMs !== undefined) connection.closeAfter(openRequest);
  }

  /** Responds after an exception; the request may have run. */
  private respondToFault({response}: OpenRequest): void {
    if (response.writableEnded) return;
    // A response that was begun must not look complete.
    if (response.headersSent) response.destroy();
    const reason = 'internal fault';
    sendRejection(response, {code: 'outcome-unknown', reason});
  }

  private startTrace(request: IncomingMessage): RequestTrace {
    const {requestId} = this.options.headerNames;
    return {
      requestId: String(request.headers[requestId] ?? ''),
      startedAtMs: performance.now(),
      attempts: [],
      turnedAway: [],
    };
  }

  private async serve(
    request: IncomingMessage,
    openRequest: OpenRequest,
    trace: RequestTrace,
  ): Promise<UpstreamOutcome | Rejection> {
    if (this.refusing) return createStopRejection();
    const admission = await this.admission.admit(request, trace.startedAtMs);
    if (!admission.ok) return admission.value;
    const admitted = admission.value;
    trace.route = admitted.route;
    trace.team = admitted.team;
    if (!this.fitsBeforeStop(admitted)) return createStopRejection();
    const reservation = this.options.bodyMemory.open();
    try {
      openRequest.phase = 'body';
      const read = await readRequestBody(request, {
        maxBytes: admitted.table.policy.callerLimits.maxBodyBytes,
        deadlineAtMs: admitted.deadlineAtMs,
        reservation,
      });
      if (read.kind !== 'read') return this.rejectUnread(read, openRequest);
      return await this.serveRead(
        request,
        read.body,
        openRequest,
        trace,
        admitted,
      );
    } finally {
      // A stream releases its memory when it closes.
      if (!reservation.isStreamed) reservation.release();
    }
  }

  /**
   * Serves a request whose body was read or is a stream. The body is discarded
   * unless a server has it.
   */
  private async serveRead(
    request: IncomingMessage,
    body: RequestBody,
    openRequest: OpenRequest,
    trace: RequestTrace,
    admitted: AdmittedRequest,
  ): Promise<UpstreamOutcome | Rejection> {
    let isAnswered = false;
    try {
      // While the body came, the key may have been withdrawn, or a stop begun.
      const confirmed = await this.admission.confirm(
        request,
        trace.startedAtMs,
        admitted,
      );
      if (!confirmed.ok) return confirmed.value;
      if (!this.fitsBeforeStop(confirmed.value)) return createStopRejection();
      const outcome = await this.forward(
        request,
        body,
        openRequest,
        confirmed.value,
      );
      isAnswered = 'kind' in outcome && outcome.kind === 'answered';
      return outcome;
    } finally {
      // After a response, a server may still be reading the body.
      if (!isAnswered) discardBody(body);
    }
  }

  /** Ends a request whose body could not be read; no server was sent it. */
  private rejectUnread(
    {kind}: Exclude<BodyResult, {kind: 'read'}>,
    openRequest: OpenRequest,
  ): UpstreamOutcome | Rejection {
    switch (kind) {
      case 'abandoned':
        return {kind: 'abandoned', attempts: [], turnedAway: []};
      case 'too-large':
        return {code: 'body-too-large', reason: 'body over the limit'};
      case 'no-memory': {
        const reason = 'no memory left for the body';
        return {code: 'not-run', reason, retryAfterMs: DEFAULT_RETRY_AFTER_MS};
      }
      case 'too-slow':
        // The unread rest of the body would precede the next request.
        this.options.connections
          .getOrCreate(openRequest.response.req.socket)
          .closeAfter(openRequest);
        return {code: 'body-too-slow', reason: 'the body took too long'};
    }
  }

  /** Takes one request of the team's rate and sends the request to a server. */
  private async forward(
    request: IncomingMessage,
    body: RequestBody,
    openRequest: OpenRequest,
    {route, team, table, deadlineAtMs}: AdmittedRequest,
  ): Promise<UpstreamOutcome | Rejection> {
    openRequest.phase = 'rate-limit';
    const limited = await this.checkRateLimit(team);
    if (limited) return limited;
    if (this.hasGivenUp()) {
      if (team) this.options.limiter.refund(team);
      return createStopRejection();
    }
    const service = table.chooseService(route);
    if (!table.findService(service)) {
      if (team) this.options.limiter.refund(team);
      return createUndefinedServiceRejection(service);
    }
    openRequest.phase = 'server';
    const outcome = await this.options.upstream.run({
      route: route.name,
      service,
      request: this.toUpstreamRequest(request, body),
      team: team?.name,
      rank: team?.rank ?? route.rank,
      isIdempotent: route.execution === 'idempotent',
      maxAttempts: route.maxAttempts,
      targetLatencyMs: route.targetLatencyMs,
      deadlineAtMs,
      abandoned: openRequest.abandoned.signal,
    });
    if (team && outcome.kind === 'not-run') this.options.limiter.refund(team);
    return outcome;
  }

  /**
   * Whether a request finishes before a stop gives it up: for certain if it
   * comes late in the stop, else as far as can be expected. Idempotent requests
   * may be given up, since their callers can repeat them.
   */
  private fitsBeforeStop({route, deadlineAtMs}: AdmittedRequest): boolean {
    if (this.givesUpAtMs === undefined) return true;
    const nowMs = performance.now();
    if (deadlineAtMs <= this.givesUpAtMs) return true;
    if (nowMs >= this.acceptsAllUntilMs) return false;
    if (route.execution === 'idempotent') return true;
    return nowMs + route.targetLatencyMs <= this.givesUpAtMs;
  }

  private hasGivenUp(): boolean {
    return performance.now() >= (this.givesUpAtMs ?? Infinity);
  }

  /** Rejects a request that no server was sent and will not be sent. */
  private rejectUnsent(openRequest: OpenRequest, trace: RequestTrace): void {
    const {response} = openRequest;
    const {socket} = response.req;
    if (socket.destroyed) return;
    this.options.connections.getOrCreate(socket).closeAfter(openRequest);
    const rejection = createStopRejection();
    sendRejection(response, rejection);
    this.recordRejection(rejection, trace);
  }

  /** Takes one request of the team's rate; returns a rejection if refused. */
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
    openRequest: OpenRequest,
    outcome: UpstreamOutcome | Rejection,
    trace: RequestTrace,
  ): Promise<void> {
    const {response} = openRequest;
    if ('code' in outcome) {
      // It was already rejected if a stop gave it up.
      if (response.headersSent) return;
      sendRejection(response, outcome);
      this.recordRejection(outcome, trace);
      return;
    }
    trace.attempts = outcome.attempts;
    trace.turnedAway = outcome.turnedAway;
    trace.fingerprint = outcome.fingerprint;
    if (outcome.kind === 'answered') {
      const {response: upstreamResponse, serverId: server} = outcome;
      const complete = await sendUpstreamResponse(
        response,
        upstreamResponse,
        openRequest.abandoned.signal,
      );
      if (!complete && !response.headersSent) {
        const reason = 'the response broke off before its turn';
        const rejection: Rejection = {code: 'outcome-unknown', reason};
        sendRejection(response, rejection);
        this.recordRejection(rejection, trace);
        return;
      }
      const {status} = upstreamResponse;
      const hasNoProblem =
        trace.attempts.length === 1 && status < 500 && complete;
      const kind = hasNoProblem
        ? MESSAGE_ANSWERED
        : MESSAGE_ANSWERED_WITH_PROBLEMS;
      this.recordOutcome('answered', kind, trace, {
        status,
        server,
        whole: complete,
      });
      return;
    }
    if (outcome.kind === 'abandoned') {
      // The caller may have ended only its side of the connection.
      response.destroy();
      this.recordOutcome('caller-left', 'caller left', trace, {});
      return;
    }
    const rejection = toRejection(outcome);
    sendRejection(response, rejection);
    this.recordRejection(rejection, trace);
  }

  private recordRejection(
    {code, reason, retryAfterMs}: Rejection,
    trace: RequestTrace,
  ): void {
    const kind = `rejected ${code}`;
    this.recordOutcome(code, kind, trace, {reason, retryAfterMs});
  }

  /** Logs a finished request and updates the metrics. */
  private recordOutcome(
    outcome: string,
    kind: string,
    trace: RequestTrace,
    fields: Record<string, unknown>,
  ): void {
    const {log, metrics, policies} = this.options;
    const {requestId, startedAtMs, route, team, attempts, turnedAway} = trace;
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
      turnedAway: turnedAway.length > 0 ? turnedAway : undefined,
      fingerprint: trace.fingerprint,
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
        retryAfterMs: outcome.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
      };
    case 'unknown':
      return {code: 'outcome-unknown', reason: outcome.reason};
    case 'deadline':
      return {code: 'deadline-passed', reason: 'no answer in time'};
  }
}

/** Size of a body in memory; undefined for a streamed one, which waits itself. */
function countBufferedBytes(
  outcome: UpstreamOutcome | Rejection,
): number | undefined {
  if ('code' in outcome || outcome.kind !== 'answered') return 0;
  const {response} = outcome;
  return response.kind === 'buffered' ? response.body.length : undefined;
}

/** Stops reading for a server, so that the rest of the body can be skipped. */
function discardBody(body: RequestBody): void {
  if (body.kind === 'stream') body.stream.destroy();
}

function createUndefinedServiceRejection(service: string): Rejection {
  const reason = `the policy does not define the service ${service}`;
  return {code: 'not-run', reason, retryAfterMs: DEFAULT_RETRY_AFTER_MS};
}

function createStopRejection(): Rejection {
  const reason = 'the instance is about to stop';
  return {code: 'not-run', reason, retryAfterMs: STOPPING_RETRY_AFTER_MS};
}
