/**
 * What a backend server says of itself in its responses: that it leaves, and
 * that it wants no request for a while.
 *
 * Both belong to one run of a server. They are kept when its entry lapses or is
 * replaced, so that an entry that still says ready doesn't bring the run back.
 */
import type {Logger} from '@fireflytrack/telemetry';
import type {ServerRun} from './known-limits.js';

export type LeavingReading =
  | {kind: 'absent'}
  | {kind: 'leaving'}
  | {kind: 'unreadable'; value: string};

export type PauseReading =
  | {kind: 'absent'}
  | {kind: 'asked'; pauseMs: number}
  /** The value is no positive number of seconds. */
  | {kind: 'unreadable'; value: string};

/** Signals of one response. */
export interface ServerSignals {
  leaving: LeavingReading;
  pause: PauseReading;
}

/** Longest pause. A wrong value must not take a server out of use for good. */
export const MAX_PAUSE_MS = 60_000;
const MS_PER_SECOND = 1000;
const LEAVING_VALUES: ReadonlySet<string> = new Set(['1', 'true']);
const DECIMAL_NUMBER = /^\d{1,20}(\.\d{1,20})?$/;
const MAX_LOGGED_CHARACTERS = 40;
// Bounds the runs that are remembered after their servers left the list.
const MAX_GONE_RUNS = 2000;
// Requests that were in flight together bring nearly the same end.
const SAME_END_MS = 500;

type HeaderValue = string | string[] | undefined;

/** Of several values in one response, one that says so is enough. */
export function readServerLeaving(value: HeaderValue): LeavingReading {
  if (value === undefined) return {kind: 'absent'};
  const values = toTexts(value);
  return values.some(text => LEAVING_VALUES.has(text.toLowerCase()))
    ? {kind: 'leaving'}
    : {kind: 'unreadable', value: toLoggedText(values)};
}

/** Of several values in one response, the longest readable pause counts. */
export function readPause(value: HeaderValue): PauseReading {
  if (value === undefined) return {kind: 'absent'};
  const values = toTexts(value);
  const seconds = values
    .filter(text => DECIMAL_NUMBER.test(text))
    .map(text => Number(text));
  const pauseMs = Math.min(
    MAX_PAUSE_MS,
    Math.max(0, ...seconds) * MS_PER_SECOND,
  );
  return pauseMs > 0
    ? {kind: 'asked', pauseMs}
    : {kind: 'unreadable', value: toLoggedText(values)};
}

function toTexts(value: string | string[]): string[] {
  return (Array.isArray(value) ? value : [value]).map(text => text.trim());
}

function toLoggedText(values: readonly string[]): string {
  return values.join(', ').slice(0, MAX_LOGGED_CHARACTERS);
}

/** What one run of a server has said of itself. */
export class RunSignals {
  isLeaving = false;
  /** Monotonic time until which the server wants no request. */
  pausedUntilMs = 0;
  /** Signals of which a value that is not readable was logged. */
  readonly loggedUnreadable = new Set<string>();

  private constructor() {}

  static create(): RunSignals {
    return new RunSignals();
  }
}

export class KnownSignals {
  private readonly listed = new Map<string, RunSignals>();
  /** Runs that are no longer listed, the longest gone first. */
  private readonly gone = new Map<string, RunSignals>();

  private constructor(private readonly logger: Logger) {}

  static create(logger: Logger): KnownSignals {
    return new KnownSignals(logger);
  }

  /** Returns what the run of a server that is now listed has said before. */
  list(run: ServerRun): RunSignals {
    const key = toKey(run);
    const known = this.listed.get(key) ?? this.gone.get(key);
    const signals = known ?? RunSignals.create();
    this.gone.delete(key);
    this.listed.set(key, signals);
    return signals;
  }

  /** Keeps the signals of a server that is no longer listed; it may return. */
  retire(run: ServerRun): void {
    const key = toKey(run);
    const signals = this.listed.get(key);
    if (!signals) return;
    this.listed.delete(key);
    this.gone.set(key, signals);
    const [longestGone] = this.gone.keys();
    if (this.gone.size > MAX_GONE_RUNS) this.gone.delete(longestGone!);
  }

  /** Applies what a response says. A value that says nothing changes nothing. */
  apply(
    server: ServerRun & {service: string},
    known: RunSignals,
    {leaving, pause}: ServerSignals,
  ): void {
    if (leaving.kind === 'leaving') this.learnLeaving(server, known);
    if (leaving.kind === 'unreadable') {
      this.logUnreadable(server, known, 'server-leaving', leaving.value);
    }
    if (pause.kind === 'asked') this.learnPause(server, known, pause.pauseMs);
    if (pause.kind === 'unreadable') {
      this.logUnreadable(server, known, 'retry-after', pause.value);
    }
  }

  private learnLeaving(
    server: ServerRun & {service: string},
    known: RunSignals,
  ): void {
    if (known.isLeaving) return;
    known.isLeaving = true;
    const {service, serverId, startedAtMs} = server;
    const fields = {service, server: serverId, startedAtMs};
    this.logger.info('server leaving', fields);
  }

  /** The later end counts, because each refusal is meant for its whole time. */
  private learnPause(
    server: ServerRun & {service: string},
    known: RunSignals,
    pauseMs: number,
  ): void {
    const untilMs = Math.max(known.pausedUntilMs, performance.now() + pauseMs);
    const isNews = Math.abs(untilMs - known.pausedUntilMs) > SAME_END_MS;
    known.pausedUntilMs = untilMs;
    if (!isNews) return;
    const {service, serverId} = server;
    const fields = {service, server: serverId, forMs: Math.round(pauseMs)};
    this.logger.info('server asked for a pause', fields);
  }

  /** Logs once per run: a date, say, differs in each response. */
  private logUnreadable(
    server: ServerRun & {service: string},
    known: RunSignals,
    signal: string,
    value: string,
  ): void {
    if (known.loggedUnreadable.has(signal)) return;
    known.loggedUnreadable.add(signal);
    const {service, serverId} = server;
    const fields = {service, server: serverId, signal, value};
    this.logger.warn('server signal not readable', fields);
  }
}

function toKey({serverId, startedAtMs}: ServerRun): string {
  return `${serverId}@${startedAtMs}`;
}
