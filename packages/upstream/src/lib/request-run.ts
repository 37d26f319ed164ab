/**
 * Runs one request to its outcome: the first attempt, retries where the request
 * allows them, a hedged second attempt when the first is slow, the deadline, and
 * the disconnection of the caller.
 */
import type {Logger} from '@fireflytrack/telemetry';
import type {HeaderNames} from './http-conventions.js';
import {NOT_RUN_STATUSES, isProcessedStatus} from './http-conventions.js';
import {Attempt} from './attempt.js';
import type {AttemptResult} from './attempt.js';
import {CrashGuard} from './crash-guard.js';
import type {CrashGuardContext} from './crash-guard.js';
import type {KnownLimits} from './known-limits.js';
import type {LimitGrants} from './limit-grants.js';
import type {LimitReading} from './server-limit.js';
import type {RetryCause} from './retry-budget.js';
import type {Choice, ServerChooser} from './server-chooser.js';
import type {ServerRecord} from './server-record.js';
import type {KnownSignals} from './server-signals.js';
import type {ServiceState} from './service-state.js';
import type {
  AttemptReport,
  OutcomeReports,
  UpstreamOutcome,
} from './upstream-outcome.js';
import type {UpstreamResponse, UpstreamRequest} from './upstream-request.js';

export interface RunOptions {
  /** Name of the route. */
  route: string;
  service: string;
  request: UpstreamRequest;
  team: string | undefined;
  /** Priority; 0 is the most important. */
  rank: number;
  /** Whether the request may be run more than once. */
  isIdempotent: boolean;
  /** Maximum number of servers that the request is sent to. */
  maxAttempts: number;
  targetLatencyMs: number;
  /** Monotonic time by which the caller must have its response. */
  deadlineAtMs: number;
  /**
   * Aborted when the caller disconnects, or with the reason `INSTANCE_STOPS`
   * when the caller must get an answer now.
   */
  abandoned: AbortSignal;
}

/** Reason of an abort because the instance stops. */
export const INSTANCE_STOPS = 'the instance stops';

export interface RunContext {
  state: ServiceState;
  headerNames: HeaderNames;
  limits: KnownLimits;
  signals: KnownSignals;
  grants: LimitGrants;
  chooser: ServerChooser;
  crashes: CrashGuardContext;
  logger: Logger;
}

interface RunningAttempt {
  attempt: Attempt;
  record: ServerRecord;
  startedAtMs: number;
  done: Promise<FinishedAttempt>;
}

interface FinishedAttempt {
  running: RunningAttempt;
  result: AttemptResult;
}

type RunEvent =
  | {kind: 'finished'; finished: FinishedAttempt}
  | {kind: 'slow'}
  | {kind: 'retry-decided'; granted: boolean}
  | {kind: 'chosen'; choice: Choice; pending: Promise<RunEvent>}
  /** It is known whether a server that ended its connection has gone down. */
  | {kind: 'loss-checked'; pending: Promise<RunEvent>}
  | {kind: 'deadline'}
  | {kind: 'stopped'}
  | {kind: 'abandoned'};

const NONE_WITHHELD: ReadonlySet<ServerRecord> = new Set();
// Attempts whose connection could not be opened don't count as sent. After this
// many, the service is taken to be unreachable from this instance.
const MAX_UNSENT_ATTEMPTS = 4;
// A hedged attempt starts when the first takes longer than this share of the
// latency objective and than this multiple of the typical latency.
const HEDGE_OBJECTIVE_SHARE = 0.5;
const HEDGE_TYPICAL_FACTOR = 2;
// A trial of a request that may crash its server needs a second server.
const MIN_SERVERS_FOR_TRIAL = 2;
// Maximum idle time of a reused connection. An idle connection may be dead, and a
// non-idempotent request that is lost on one cannot be retried; a new connection
// costs a round trip.
const MAX_IDLE_IDEMPOTENT_MS = 60_000;
const MAX_IDLE_NON_IDEMPOTENT_MS = 250;
// For servers that were seen to drop idle connections, which they do after 300 ms
// or more.
const MAX_IDLE_DISTRUSTED_MS = 100;

export class RequestRun {
  private readonly running = new Set<RunningAttempt>();
  private readonly tried = new Set<ServerRecord>();
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly reports: AttemptReport[] = [];
  private sentAttempts = 0;
  private unsentAttempts = 0;
  private mayHaveRun = false;
  private hedged = false;
  /** Request for a retry that the budget has not decided yet. */
  private pendingRetry: Promise<RunEvent> | undefined;
  /** Choices of a server that wait for a grant. */
  private readonly pendingChoices = new Set<Promise<RunEvent>>();
  private readonly pendingLossChecks = new Set<Promise<RunEvent>>();
  private readonly turnedAway = new Set<string>();
  /** When a server may have room, if all were at their limits. */
  private retryAfterMs: number | undefined;
  /** An attempt failed while a retry for slowness was pending. */
  private failedWhilePending = false;
  private lastReason = 'no server of the service is known';
  /** A complete server error response, used if no attempt succeeds. */
  private fallback: {response: UpstreamResponse; serverId: string} | undefined;

  private readonly guard: CrashGuard;

  private constructor(
    private readonly options: RunOptions,
    private readonly context: RunContext,
  ) {
    this.guard = CrashGuard.create(options, context.crashes);
  }

  static create(options: RunOptions, context: RunContext): RequestRun {
    return new RequestRun(options, context);
  }

  async run(): Promise<UpstreamOutcome> {
    const ended = this.watchForEnd();
    try {
      if (this.guard.isHeld) await this.admitHeld();
      if (!this.options.abandoned.aborted) this.startAttempt();
      for (;;) {
        if (!this.isUnderWay) return this.conclude();
        const event = await this.nextEvent(ended);
        const outcome = this.handleEvent(event);
        if (outcome) return outcome;
      }
    } finally {
      for (const timer of this.timers) clearTimeout(timer);
      for (const {attempt} of this.running) attempt.cancel();
    }
  }

  private handleEvent(event: RunEvent): UpstreamOutcome | undefined {
    switch (event.kind) {
      case 'abandoned':
        return {kind: 'abandoned', ...this.collectReports()};
      case 'deadline':
        return this.conclude('deadline passed');
      case 'stopped':
        this.lastReason = INSTANCE_STOPS;
        return this.conclude();
      case 'slow':
        if (this.guard.allowsHedge) this.requestRetry('slowness');
        return undefined;
      case 'retry-decided':
        this.pendingRetry = undefined;
        this.onRetryDecided(event.granted);
        return undefined;
      case 'chosen':
        this.pendingChoices.delete(event.pending);
        this.useChoice(event.choice);
        return undefined;
      case 'loss-checked':
        this.pendingLossChecks.delete(event.pending);
        if (this.guard.allowsRetry) this.requestRetry('failure');
        else this.lastReason += '; not repeated, as servers went down under it';
        return undefined;
      case 'finished':
        return this.onFinished(event.finished);
    }
  }

  /** Waits until it is known whether a request that is held back may be sent. */
  private async admitHeld(): Promise<void> {
    const nowMs = performance.now();
    const {records} = this.context.state;
    const usable = records.filter(
      record => !record.isAvoided(nowMs) && !record.isWithdrawn(nowMs),
    );
    const hasSpareServer = usable.length >= MIN_SERVERS_FOR_TRIAL;
    await this.guard.admit(hasSpareServer, this.options.deadlineAtMs);
  }

  private onFinished(finished: FinishedAttempt): UpstreamOutcome | undefined {
    const {running, result} = finished;
    const {record} = running;
    const {state} = this.context;
    this.running.delete(running);
    this.reports.push(toReport(running, result));
    switch (result.kind) {
      case 'answered':
        return this.onResponse(running, result.response);
      case 'rejected':
        this.lastReason = result.reason;
        // To ask for a pause is no failure.
        if (!running.attempt.asksForPause) {
          state.recordFailure(record, 'rejected', result.reason);
        }
        this.requestRetry('failure');
        return undefined;
      case 'not-sent':
        this.sentAttempts -= 1;
        this.onNotSent(record, result.reason);
        return undefined;
      case 'failed':
        this.lastReason = result.reason;
        this.mayHaveRun = true;
        state.recordFailure(
          record,
          result.isStaleConnection ? 'stale-connection' : 'fault',
          result.reason,
        );
        if (result.isConnectionLost) this.checkLoss(running);
        else if (this.options.isIdempotent) this.requestRetry('failure');
        return undefined;
    }
  }

  /** A retry waits until it is known whether the server has gone down. */
  private checkLoss(running: RunningAttempt): void {
    const recorded = this.recordLoss(running);
    const {isIdempotent, deadlineAtMs} = this.options;
    if (!isIdempotent) return;
    const pending: Promise<RunEvent> = recorded
      .then(() => this.guard.waitForRetry(deadlineAtMs))
      .then(() => ({kind: 'loss-checked', pending}));
    this.pendingLossChecks.add(pending);
  }

  private recordLoss({
    record,
    startedAtMs,
  }: Pick<RunningAttempt, 'record' | 'startedAtMs'>): Promise<void> {
    return this.guard.recordLoss({
      run: record.run,
      address: record.server.report,
      wasListed: this.context.state.records.includes(record),
      startedAtMs,
    });
  }

  private onNotSent(record: ServerRecord, reason: string): void {
    this.lastReason = reason;
    this.unsentAttempts += 1;
    this.context.state.recordFailure(record, 'fault', reason);
    if (this.unsentAttempts < MAX_UNSENT_ATTEMPTS) this.startAttempt();
  }

  private onResponse(
    running: RunningAttempt,
    response: UpstreamResponse,
  ): UpstreamOutcome | undefined {
    const {record, startedAtMs} = running;
    const {state} = this.context;
    const {serverId} = record;
    const {status} = response;
    const {route, targetLatencyMs} = this.options;
    const latencyMs = performance.now() - startedAtMs;
    if (isProcessedStatus(status)) {
      state.recordResponse(record, route, latencyMs, targetLatencyMs);
      record.recordSuccess();
      if (response.kind === 'buffered') this.guard.recordSuccess();
      else response.body.once('end', () => this.guard.recordSuccess());
      const reports = this.collectReports();
      return {kind: 'answered', response, serverId, ...reports};
    }
    this.mayHaveRun = true;
    this.lastReason = `server answered ${status}`;
    const kind = state.classifyError(latencyMs, targetLatencyMs);
    if (!running.attempt.asksForPause) {
      state.recordFailure(record, kind, this.lastReason);
    }
    // Statuses such as 503 guarantee nothing here, because the server didn't
    // state that the request has not run. They are not forwarded, since callers
    // would take them as that guarantee.
    if (response.kind === 'streamed') response.body.destroy();
    else if (!NOT_RUN_STATUSES.has(status))
      this.fallback ??= {response, serverId};
    if (this.options.isIdempotent) this.requestRetry('failure');
    return undefined;
  }

  private conclude(deadlineReason?: string): UpstreamOutcome {
    const reports = this.collectReports();
    if (this.fallback) return {kind: 'answered', ...this.fallback, ...reports};
    this.context.state.recordUnserved();
    const {mayHaveBeenSent} = this;
    const reason = deadlineReason ?? this.lastReason;
    if (deadlineReason !== undefined && (mayHaveBeenSent || this.mayHaveRun)) {
      const nowMs = performance.now();
      for (const {record, startedAtMs} of this.running) {
        const waitedMs = nowMs - startedAtMs;
        this.context.state.recordMiss(record, this.options.route, waitedMs);
      }
      return {kind: 'deadline', ...reports};
    }
    if (this.mayHaveRun || mayHaveBeenSent)
      return {kind: 'unknown', reason, ...reports};
    if (this.hasCallerLeft) return {kind: 'abandoned', ...reports};
    const {retryAfterMs} = this;
    return {
      kind: 'not-run',
      reason,
      ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
      ...reports,
    };
  }

  private collectReports(): OutcomeReports {
    const open = [...this.running].map(running => toReport(running, undefined));
    const attempts = [...this.reports, ...open];
    const {fingerprint} = this.guard;
    return {
      attempts,
      turnedAway: [...this.turnedAway],
      ...(fingerprint === undefined ? {} : {fingerprint}),
    };
  }

  /** Whether an attempt is running or may still start. */
  private get isUnderWay(): boolean {
    return (
      this.running.size > 0 ||
      this.pendingRetry !== undefined ||
      this.pendingChoices.size > 0 ||
      this.pendingLossChecks.size > 0
    );
  }

  /** Whether a server may have received one of the running attempts. */
  private get mayHaveBeenSent(): boolean {
    return [...this.running].some(({attempt}) => attempt.mayHaveBeenSent);
  }

  /** Requests one more attempt from the budget, unless one is pending. */
  private requestRetry(cause: RetryCause): void {
    if (this.hasCallerLeft) return;
    const {maxAttempts, request} = this.options;
    if (this.sentAttempts + this.pendingChoices.size >= maxAttempts) return;
    if (request.body.kind === 'stream') return;
    if (this.pendingRetry) {
      this.failedWhilePending ||= cause === 'failure';
      return;
    }
    this.pendingRetry = this.context.state.budget
      .takeRetry(cause)
      .then(granted => ({kind: 'retry-decided', granted}));
  }

  private onRetryDecided(granted: boolean): void {
    const {failedWhilePending} = this;
    this.failedWhilePending = false;
    if (granted) this.startAttempt();
    // Retries after failures may use more of the budget than those for slowness.
    else if (failedWhilePending) this.requestRetry('failure');
    else this.lastReason += '; no repeat left in the budget';
  }

  private startAttempt(): void {
    const {state, chooser} = this.context;
    if (this.remainingMs < 1 || this.hasCallerLeft) return;
    const held = this.guard.refuseAttempt();
    if (held) {
      this.lastReason = held.reason;
      this.retryAfterMs = held.retryAfterMs;
      return;
    }
    const {targetLatencyMs, team, rank, isIdempotent} = this.options;
    const baselineMs = state.baselineMs(targetLatencyMs);
    const choice = chooser.choose(
      state.records,
      {
        targetLatencyMs,
        baselineMs,
        tried: this.tried,
        withheld: isIdempotent ? NONE_WITHHELD : state.findWithheld(),
        isRetry: this.tried.size > 0,
      },
      {team, rank},
    );
    if (!(choice instanceof Promise)) {
      this.useChoice(choice);
      return;
    }
    const pending: Promise<RunEvent> = choice.then(chosen => ({
      kind: 'chosen',
      choice: chosen,
      pending,
    }));
    this.pendingChoices.add(pending);
  }

  private useChoice(choice: Choice): void {
    if (choice.kind === 'none') return;
    for (const serverId of choice.turnedAway) this.turnedAway.add(serverId);
    if (choice.kind === 'at-limit' || choice.kind === 'withdrawn') {
      this.lastReason = choice.reason;
      this.retryAfterMs = choice.retryAfterMs;
      return;
    }
    const {record} = choice;
    const isListed = this.context.state.records.includes(record);
    // A server may have left, or said so, while a grant was under way.
    if (!isListed || record.isWithdrawn(performance.now())) this.startAttempt();
    else if (this.remainingMs >= 1 && !this.hasCallerLeft) this.sendTo(record);
  }

  /** Whether the caller disconnected; in a stop it still waits. */
  private get hasCallerLeft(): boolean {
    const {aborted, reason} = this.options.abandoned;
    return aborted && reason !== INSTANCE_STOPS;
  }

  private get remainingMs(): number {
    return this.options.deadlineAtMs - performance.now();
  }

  private sendTo(record: ServerRecord): void {
    const {options, context, remainingMs} = this;
    const {state, headerNames} = context;
    const acquired = record.pool.acquire(
      this.maxIdleMs(record),
      options.request.requestId,
    );
    if (acquired.kind === 'at-limit') return;
    this.tried.add(record);
    if (acquired.kind === 'failed') {
      const {serverId: server} = record;
      const {reason} = acquired;
      this.reports.push({server, result: 'not-sent', reason, tookMs: 0});
      this.onNotSent(record, reason);
      return;
    }
    const {connection} = acquired;
    this.sentAttempts += 1;
    record.inFlight += 1;
    const startedAtMs = performance.now();
    const attempt = Attempt.start({
      request: options.request,
      connection,
      serverId: record.serverId,
      team: options.team,
      remainingMs,
      headerNames,
      onLimitRead: reading => this.onLimitRead(record, reading, startedAtMs),
      onServerSignals: signals => {
        this.context.signals.apply(record.run, record.signals, signals);
        // Connections in use are closed when they fall idle.
        if (record.signals.isLeaving) record.pool.close();
      },
      onStreamFailed: (reason, isConnectionLost) => {
        state.recordFailure(record, 'fault', reason);
        if (isConnectionLost) void this.recordLoss({record, startedAtMs});
      },
      onReleased: reusable => {
        record.inFlight -= 1;
        if (reusable) record.pool.release(connection);
        else record.pool.discard(connection);
      },
    });
    const running: RunningAttempt = {
      attempt,
      record,
      startedAtMs,
      done: attempt.result.then(result => ({running, result})),
    };
    this.running.add(running);
  }

  private onLimitRead(
    record: ServerRecord,
    reading: LimitReading,
    sentAtMs: number,
  ): void {
    const {limits, grants} = this.context;
    const {run} = record;
    if (!limits.applyResponse(run, reading, sentAtMs)) return;
    grants.announce(run, limits.find(run)?.requestsPerSecond);
  }

  /** Maximum idle time of a reused connection to the server. */
  private maxIdleMs(record: ServerRecord): number {
    if (!record.trustsIdleConnections(performance.now())) {
      return MAX_IDLE_DISTRUSTED_MS;
    }
    return this.options.isIdempotent
      ? MAX_IDLE_IDEMPOTENT_MS
      : MAX_IDLE_NON_IDEMPOTENT_MS;
  }

  private async nextEvent(ended: Promise<RunEvent>): Promise<RunEvent> {
    const waits: Promise<RunEvent>[] = [ended];
    if (this.pendingRetry) waits.push(this.pendingRetry);
    waits.push(...this.pendingChoices, ...this.pendingLossChecks);
    for (const {done} of this.running) {
      waits.push(done.then(finished => ({kind: 'finished', finished})));
    }
    const hedge = this.hedgeTimer();
    if (hedge) waits.push(hedge);
    return Promise.race(waits);
  }

  /** Resolves when the only attempt of an idempotent request is slow. */
  private hedgeTimer(): Promise<RunEvent> | undefined {
    const {isIdempotent, maxAttempts, targetLatencyMs} = this.options;
    if (!isIdempotent || this.running.size !== 1) return undefined;
    if (this.sentAttempts >= maxAttempts || this.hedged) return undefined;
    this.hedged = true;
    const typicalMs = this.context.state.baselineMs(targetLatencyMs);
    const delayMs = Math.max(
      targetLatencyMs * HEDGE_OBJECTIVE_SHARE,
      typicalMs * HEDGE_TYPICAL_FACTOR,
    );
    return new Promise(resolve => {
      const timer = setTimeout(() => resolve({kind: 'slow'}), delayMs);
      this.timers.push(timer);
    });
  }

  private watchForEnd(): Promise<RunEvent> {
    const {deadlineAtMs, abandoned} = this.options;
    return new Promise(resolve => {
      const waitMs = Math.max(0, deadlineAtMs - performance.now());
      const timer = setTimeout(() => resolve({kind: 'deadline'}), waitMs);
      this.timers.push(timer);
      const onAbort = () => {
        if (abandoned.reason === INSTANCE_STOPS) {
          resolve({kind: 'stopped'});
          return;
        }
        // A non-idempotent request that was sent is completed: aborting it would
        // leave its outcome unknown.
        if (this.options.isIdempotent || !this.mayHaveBeenSent) {
          resolve({kind: 'abandoned'});
        }
      };
      if (abandoned.aborted) onAbort();
      abandoned.addEventListener('abort', onAbort, {once: true});
    });
  }
}

function toReport(
  running: RunningAttempt,
  result: AttemptResult | undefined,
): AttemptReport {
  const server = running.record.serverId;
  const tookMs = Math.round(performance.now() - running.startedAtMs);
  if (!result) return {server, result: 'given-up', tookMs};
  const reason =
    result.kind === 'answered'
      ? `status ${result.response.status}`
      : result.reason;
  return {server, result: result.kind, reason, tookMs};
}
