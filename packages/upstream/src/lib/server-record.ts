/**
 * What this process knows about one backend server: load, latency and failures.
 *
 * A server that fails is avoided for a while and is then on trial: until it
 * handles a request successfully, it gets no retries, and only one first attempt
 * at a time if another server is near.
 */
import type {CatalogServer} from '@fireflytrack/discovery';
import type {ServerRun} from './known-limits.js';
import {LatencyEstimate} from './latency-estimate.js';
import {ServerPool} from './server-pool.js';
import {RunSignals} from './server-signals.js';

// Each trial of a server that still fails costs a request. But operators count a
// server as healthy again 2 s after its last failure, and all instances avoid it
// at the same time. The rest of the 2 s is for the next request of its zone: with
// a longer avoidance healthy servers stay unused where few requests arrive.
const AVOIDANCE_MS = 1600;
// A trial by a one-time request costs that request. It waits for so long after the
// failure that a request which may be repeated makes the trial first, and twice
// and four times as long after failed trials, where the floor allows it.
const ONCE_TRIAL_MS = 2000;
const MAX_ONCE_TRIAL_DOUBLINGS = 2;
// All instances learn of each failure. A server that nobody has reported for so
// long has probably recovered, whether this instance has used it since or not.
const FAILED_TRIALS_MEMORY_MS = 10_000;
// An instance that learned of a failure from another avoids the server longer, by
// a random share of the duration between these bounds, so that not all instances
// make the trial at once.
const REPORTED_DELAY_MIN = 0.02;
const REPORTED_DELAY_MAX = 0.1;
// Failures within this time of the first are of requests that were in flight when
// the server began to fail, and give no new information.
const SAME_FAILURE_WINDOW_MS = 1200;
// Strikes at which a server is avoided. A single immediate error is enough: gray
// servers return them for most requests, healthy servers hardly ever.
const AVOID_STRIKES = 1;
const STRIKES_FORGIVEN_PER_SUCCESS = 0.25;
// After a reused connection turned out to be dead, idle connections are not
// trusted for this long.
const IDLE_DISTRUST_MS = 8000;

export type FailureKind =
  /** Reset, timeout, malformed response or response to another request. */
  | 'fault'
  /** No response by the deadline, of a route that had none here lately. */
  | 'unproven-miss'
  /** A complete response that reports a server error immediately. */
  | 'error-status'
  /** The same after a typical processing time, so the request may be the cause. */
  | 'late-error-status'
  /** Another instance observed a fault or an error status. */
  | 'reported'
  /** The server is at capacity and did not run the request. */
  | 'rejected'
  /** A reused connection was dead before the request was sent on it. */
  | 'stale-connection';

const STRIKES_BY_KIND: Record<FailureKind, number> = {
  fault: 1,
  'unproven-miss': 1,
  'error-status': 1,
  'late-error-status': 0.4,
  reported: 1,
  rejected: 0.5,
  'stale-connection': 0.25,
};

export class ServerRecord {
  readonly latency = LatencyEstimate.create();
  inFlight = 0;
  private strikes = 0;
  private avoidedAtMs = -Infinity;
  private avoidUntilMs = 0;
  private needsTrial = false;
  /** Trials that have failed since the last success. */
  private failedTrials = 0;
  private distrustIdleUntilMs = 0;

  private constructor(
    readonly server: CatalogServer,
    readonly pool: ServerPool,
    private readonly random: () => number,
    readonly signals: RunSignals,
  ) {}

  static create(
    server: CatalogServer,
    maxConnections: () => number,
    random: () => number = Math.random,
    signals: RunSignals = RunSignals.create(),
  ): ServerRecord {
    const {host, port} = server.report;
    const pool = ServerPool.create({host, port, maxConnections});
    return new ServerRecord(server, pool, random, signals);
  }

  /** Identifies the run of the server. */
  get run(): ServerRun & {service: string} {
    const {serverId, startedAtMs, service} = this.server.report;
    return {serverId, startedAtMs, service};
  }

  get serverId(): string {
    return this.server.report.serverId;
  }

  /** Whether the server itself has said that it takes nothing new now. */
  isWithdrawn(nowMs: number): boolean {
    const {isLeaving, pausedUntilMs} = this.signals;
    return isLeaving || nowMs < pausedUntilMs;
  }

  isAvoided(nowMs: number): boolean {
    return nowMs < this.avoidUntilMs;
  }

  /** Whether it was avoided and has not handled a request successfully since. */
  isOnTrial(nowMs: number): boolean {
    return this.needsTrial && !this.isAvoided(nowMs);
  }

  /** Whether one-time requests don't make its trial yet. */
  isWithheld(nowMs: number): boolean {
    return this.isOnTrial(nowMs) && nowMs < this.onceTrialAtMs;
  }

  isWarm(nowMs: number): boolean {
    return nowMs >= this.server.warmUntilMs;
  }

  /** Whether connections that were idle for a while may be reused. */
  trustsIdleConnections(nowMs: number): boolean {
    return nowMs >= this.distrustIdleUntilMs;
  }

  /** Whether it is avoided after it also failed a trial. */
  isConfirmedFailing(nowMs: number): boolean {
    return this.isAvoided(nowMs) && this.failedTrials > 0;
  }

  /** Monotonic time from which one-time requests make the trial as well. */
  get onceTrialAtMs(): number {
    const doublings = Math.min(this.failedTrials, MAX_ONCE_TRIAL_DOUBLINGS);
    return this.avoidedAtMs + ONCE_TRIAL_MS * 2 ** doublings;
  }

  /** Monotonic time at which the avoidance ends. */
  get avoidedUntilMs(): number {
    return this.avoidUntilMs;
  }

  recordSuccess(): void {
    this.strikes = Math.max(0, this.strikes - STRIKES_FORGIVEN_PER_SUCCESS);
    // A response to a request sent before the failure proves nothing.
    if (!this.isAvoided(performance.now())) {
      this.needsTrial = false;
      this.failedTrials = 0;
    }
  }

  /** Returns whether this started or extended an avoidance. */
  recordFailure(kind: FailureKind): boolean {
    const nowMs = performance.now();
    if (kind === 'stale-connection') {
      this.distrustIdleUntilMs = nowMs + IDLE_DISTRUST_MS;
      this.pool.closeIdle();
    }
    if (this.isAvoided(nowMs)) {
      const isNewFailure = nowMs - this.avoidedAtMs >= SAME_FAILURE_WINDOW_MS;
      if (!isNewFailure || STRIKES_BY_KIND[kind] < AVOID_STRIKES) return false;
    } else {
      this.strikes += STRIKES_BY_KIND[kind];
      if (this.strikes < AVOID_STRIKES) return false;
    }
    this.avoid(nowMs, kind);
    return true;
  }

  /** Ends the avoidance; the server stays on trial. */
  readmit(): void {
    this.avoidUntilMs = 0;
  }

  private avoid(nowMs: number, kind: FailureKind): void {
    const delayShare =
      kind === 'reported'
        ? REPORTED_DELAY_MIN +
          (REPORTED_DELAY_MAX - REPORTED_DELAY_MIN) * this.random()
        : 0;
    // Other instances have used it meanwhile, or nobody had a reason to.
    if (nowMs - this.avoidedAtMs > FAILED_TRIALS_MEMORY_MS) {
      this.failedTrials = 0;
    } else if (this.needsTrial && kind !== 'rejected') {
      this.failedTrials += 1;
    }
    this.avoidedAtMs = nowMs;
    this.avoidUntilMs = nowMs + AVOIDANCE_MS * (1 + delayShare);
    this.needsTrial = true;
    // After the avoidance, one more failure is enough to start the next.
    this.strikes = AVOID_STRIKES / 2;
  }
}
