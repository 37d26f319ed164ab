/**
 * Runs one request to its outcome: the first attempt, repeats where the request
 * allows them, a second attempt beside a slow one, the deadline, and the
 * departure of the caller.
 */
import type {Logger} from '@fireflytrack/telemetry';
import type {HeaderNames} from './answer-rules.js';
import {NOT_RUN_STATUSES} from './answer-rules.js';
import {Attempt} from './attempt.js';
import type {AttemptResult} from './attempt.js';
import type {RepeatCause} from './repeat-budget.js';
import type {ServerPicker} from './server-picker.js';
import type {ServerRecord} from './server-record.js';
import type {ServiceState} from './service-state.js';
import type {Answer, UpstreamRequest} from './upstream-request.js';

export interface RunOptions {
  service: string;
  request: UpstreamRequest;
  team: string | undefined;
  /** Whether the request may run more than once. */
  repeatable: boolean;
  maxAttempts: number;
  targetLatencyMs: number;
  /** Monotonic time by which the caller must have its answer. */
  deadlineAtMs: number;
  /** Aborted when the caller has left. */
  abandoned: AbortSignal;
}

/** One attempt, as logs tell it. */
export interface AttemptReport {
  server: string;
  result: AttemptResult['kind'] | 'given-up';
  reason?: string;
  tookMs: number;
}

export type UpstreamOutcome = {attempts: AttemptReport[]} & (
  | {kind: 'answered'; answer: Answer; serverId: string}
  /** The request has not run and never will. */
  | {kind: 'not-run'; reason: string}
  /** The request may have run; there is no answer that could be passed on. */
  | {kind: 'unknown'; reason: string}
  /** The deadline passed after the request was sent. */
  | {kind: 'deadline'}
  | {kind: 'abandoned'}
);

export interface RunShared {
  state: ServiceState;
  picker: ServerPicker;
  headerNames: HeaderNames;
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

type Event =
  | {kind: 'finished'; finished: FinishedAttempt}
  | {kind: 'slow'}
  | {kind: 'repeat'; granted: boolean}
  | {kind: 'deadline'}
  | {kind: 'abandoned'};

// Connections that could not be opened cost nobody anything; more than a few
// mean that the service cannot be reached from here.
const MAX_UNSENT_ATTEMPTS = 4;
// A second attempt starts beside one that takes longer than this part of the
// latency objective, or than this multiple of the typical latency.
const HEDGE_OBJECTIVE_SHARE = 0.5;
const HEDGE_TYPICAL_FACTOR = 2;
const FIRST_SERVER_ERROR = 500;
// A kept connection may be dead without notice, and a non-idempotent request
// that is lost on one cannot be repeated; a new one costs a round trip.
const MAX_IDLE_REPEATABLE_MS = 60_000;
const MAX_IDLE_ONCE_MS = 250;
// Used at servers that drop idle connections early, which they do after 300 ms
// and more.
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
  /** A repeat that the budget was asked for. */
  private asked: Promise<Event> | undefined;
  /** An attempt failed while the budget was asked for a slow one. */
  private failedMeanwhile = false;
  private lastReason = 'no server of the service is known';
  /** A whole answer that reports a server error, if nothing better comes. */
  private fallback: {answer: Answer; serverId: string} | undefined;

  private constructor(
    private readonly options: RunOptions,
    private readonly shared: RunShared,
  ) {}

  static create(options: RunOptions, shared: RunShared): RequestRun {
    return new RequestRun(options, shared);
  }

  async run(): Promise<UpstreamOutcome> {
    const ended = this.watchEnd();
    try {
      this.startAttempt();
      for (;;) {
        if (this.running.size === 0 && !this.asked) return this.conclude();
        const event = await this.nextEvent(ended);
        const outcome = this.handle(event);
        if (outcome) return outcome;
      }
    } finally {
      for (const timer of this.timers) clearTimeout(timer);
      for (const {attempt} of this.running) attempt.cancel();
    }
  }

  private handle(event: Event): UpstreamOutcome | undefined {
    switch (event.kind) {
      case 'abandoned':
        return {kind: 'abandoned', attempts: this.allReports()};
      case 'deadline':
        return this.conclude('deadline passed');
      case 'slow':
        this.askRepeat('slowness');
        return undefined;
      case 'repeat':
        this.asked = undefined;
        this.repeatDecided(event.granted);
        return undefined;
      case 'finished':
        return this.finished(event.finished);
    }
  }

  private finished(finished: FinishedAttempt): UpstreamOutcome | undefined {
    const {running, result} = finished;
    const {record} = running;
    const {state} = this.shared;
    this.running.delete(running);
    this.reports.push(reportOf(running, result));
    switch (result.kind) {
      case 'answered':
        return this.answered(running, result.answer);
      case 'rejected':
        this.lastReason = result.reason;
        state.failed(record, 'rejected', result.reason);
        this.askRepeat('failure');
        return undefined;
      case 'not-sent':
        this.lastReason = result.reason;
        this.sentAttempts -= 1;
        this.unsentAttempts += 1;
        state.failed(record, 'fault', result.reason);
        if (this.unsentAttempts < MAX_UNSENT_ATTEMPTS) this.startAttempt();
        return undefined;
      case 'failed':
        this.lastReason = result.reason;
        this.mayHaveRun = true;
        state.failed(
          record,
          result.isStaleConnection ? 'stale-connection' : 'fault',
          result.reason,
        );
        if (this.options.repeatable) this.askRepeat('failure');
        return undefined;
    }
  }

  private answered(
    running: RunningAttempt,
    answer: Answer,
  ): UpstreamOutcome | undefined {
    const {record, startedAtMs} = running;
    const {state} = this.shared;
    const {serverId} = record;
    const {status} = answer;
    const {targetLatencyMs} = this.options;
    const latencyMs = performance.now() - startedAtMs;
    if (status < FIRST_SERVER_ERROR && !NOT_RUN_STATUSES.has(status)) {
      state.answered(record, latencyMs, targetLatencyMs);
      record.succeeded();
      const attempts = this.allReports();
      return {kind: 'answered', answer, serverId, attempts};
    }
    this.mayHaveRun = true;
    this.lastReason = `server answered ${status}`;
    const sign = state.errorSign(latencyMs, targetLatencyMs);
    state.failed(record, sign, this.lastReason);
    // The server promised nothing with these, so the caller must not read a
    // promise into them either.
    if (answer.kind === 'streamed') answer.body.destroy();
    else if (!NOT_RUN_STATUSES.has(status))
      this.fallback ??= {answer, serverId};
    if (this.options.repeatable) this.askRepeat('failure');
    return undefined;
  }

  private conclude(deadline?: string): UpstreamOutcome {
    const attempts = this.allReports();
    if (this.fallback) return {kind: 'answered', ...this.fallback, attempts};
    const {wasSent} = this;
    const reason = deadline ?? this.lastReason;
    if (deadline !== undefined && (wasSent || this.mayHaveRun)) {
      for (const {record} of this.running) {
        this.shared.state.failed(record, 'fault', 'no answer by the deadline');
      }
      return {kind: 'deadline', attempts};
    }
    if (this.mayHaveRun || wasSent) return {kind: 'unknown', reason, attempts};
    return {kind: 'not-run', reason, attempts};
  }

  private allReports(): AttemptReport[] {
    const open = [...this.running].map(running => reportOf(running, undefined));
    return [...this.reports, ...open];
  }

  /** Whether a server may have seen one of the attempts under way. */
  private get wasSent(): boolean {
    return [...this.running].some(({attempt}) => attempt.wasSent);
  }

  /** Asks the budget for one more attempt, unless it was asked already. */
  private askRepeat(cause: RepeatCause): void {
    const {maxAttempts, request} = this.options;
    if (this.sentAttempts >= maxAttempts) return;
    if (request.body.kind === 'stream') return;
    if (this.asked) {
      this.failedMeanwhile ||= cause === 'failure';
      return;
    }
    this.asked = this.shared.state.budget
      .take(cause)
      .then(granted => ({kind: 'repeat', granted}));
  }

  private repeatDecided(granted: boolean): void {
    const {failedMeanwhile} = this;
    this.failedMeanwhile = false;
    if (granted) this.startAttempt();
    // Failures may use more of the budget than slowness.
    else if (failedMeanwhile) this.askRepeat('failure');
    else this.lastReason += '; no repeat left in the budget';
  }

  private startAttempt(): void {
    const {options, shared} = this;
    const {state, picker, headerNames} = shared;
    const remainingMs = options.deadlineAtMs - performance.now();
    if (remainingMs < 1) return;
    const {targetLatencyMs} = options;
    const baselineMs = state.baselineMs(targetLatencyMs);
    const record = picker.pick(state.records, {
      targetLatencyMs,
      baselineMs,
      tried: this.tried,
      isRepeat: this.tried.size > 0,
    });
    const connection = record?.pool.take(this.maxIdleMs(record));
    if (!record || !connection) return;
    this.tried.add(record);
    this.sentAttempts += 1;
    record.inFlight += 1;
    const attempt = Attempt.start({
      request: options.request,
      connection,
      serverId: record.serverId,
      team: options.team,
      remainingMs,
      headerNames,
      onReleased: reusable => {
        record.inFlight -= 1;
        if (reusable) record.pool.giveBack(connection);
        else record.pool.drop(connection);
      },
    });
    const running: RunningAttempt = {
      attempt,
      record,
      startedAtMs: performance.now(),
      done: attempt.result.then(result => ({running, result})),
    };
    this.running.add(running);
  }

  /** How long a connection to the server may have been idle. */
  private maxIdleMs(record: ServerRecord): number {
    if (!record.trustsIdleConnections(performance.now())) {
      return MAX_IDLE_DISTRUSTED_MS;
    }
    return this.options.repeatable ? MAX_IDLE_REPEATABLE_MS : MAX_IDLE_ONCE_MS;
  }

  private async nextEvent(ended: Promise<Event>): Promise<Event> {
    const waits: Promise<Event>[] = [ended];
    if (this.asked) waits.push(this.asked);
    for (const {done} of this.running) {
      waits.push(done.then(finished => ({kind: 'finished', finished})));
    }
    const hedge = this.hedgeTimer();
    if (hedge) waits.push(hedge);
    return Promise.race(waits);
  }

  /** Resolves when the only attempt of a repeatable request takes long. */
  private hedgeTimer(): Promise<Event> | undefined {
    const {repeatable, maxAttempts, targetLatencyMs} = this.options;
    if (!repeatable || this.running.size !== 1) return undefined;
    if (this.sentAttempts >= maxAttempts || this.hedged) return undefined;
    this.hedged = true;
    const typicalMs = this.shared.state.baselineMs(targetLatencyMs);
    const delayMs = Math.max(
      targetLatencyMs * HEDGE_OBJECTIVE_SHARE,
      typicalMs * HEDGE_TYPICAL_FACTOR,
    );
    return new Promise(resolve => {
      const timer = setTimeout(() => resolve({kind: 'slow'}), delayMs);
      this.timers.push(timer);
    });
  }

  private watchEnd(): Promise<Event> {
    const {deadlineAtMs, abandoned} = this.options;
    return new Promise(resolve => {
      const waitMs = Math.max(0, deadlineAtMs - performance.now());
      const timer = setTimeout(() => resolve({kind: 'deadline'}), waitMs);
      this.timers.push(timer);
      const leave = () => {
        // A one-time request that was sent runs to its end: breaking it off
        // would leave its outcome unknown.
        if (this.options.repeatable || !this.wasSent) {
          resolve({kind: 'abandoned'});
        }
      };
      if (abandoned.aborted) leave();
      abandoned.addEventListener('abort', leave, {once: true});
    });
  }
}

function reportOf(
  running: RunningAttempt,
  result: AttemptResult | undefined,
): AttemptReport {
  const server = running.record.serverId;
  const tookMs = Math.round(performance.now() - running.startedAtMs);
  if (!result) return {server, result: 'given-up', tookMs};
  const reason =
    result.kind === 'answered'
      ? `status ${result.answer.status}`
      : result.reason;
  return {server, result: result.kind, reason, tookMs};
}
