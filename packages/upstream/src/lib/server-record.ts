/**
 * What this process knows of one backend server: load, latency, failures.
 *
 * A server that fails is avoided for a while and is then on trial: until it
 * answers a request well, it gets no repeats, and first attempts one at a time
 * where another server is near.
 */
import type {CatalogServer} from '@fireflytrack/discovery';
import {LatencyEstimate} from './latency-estimate.js';
import {ServerPool} from './server-pool.js';

// Pauses after the first failures; each further one lasts longer. Gray phases
// last 5 to 12 s, and each trial within one costs a request.
const FIRST_AVOIDANCE_MS = 1800;
const AVOIDANCE_GROWTH = 1.6;
const MAX_AVOIDANCE_MS = 6000;
// An instance that was told of a failure comes back later than the one that
// saw it by up to this part of the pause, so that one of them makes the trial.
const REPORTED_DELAY_MIN = 0.15;
const REPORTED_DELAY_MAX = 0.6;
// Failures within this time of the first belong to requests that were under way
// when the server began to fail, and say nothing new.
const SAME_FAILURE_WINDOW_MS = 1200;
// Strikes at which a server is avoided. One error at once is enough: gray servers
// answer most requests so, sound ones hardly any.
const AVOID_STRIKES = 1;
const STRIKES_FORGIVEN_PER_SUCCESS = 0.25;
// After a kept connection turned out to be dead, the others that were idle are
// not trusted for this long.
const IDLE_DISTRUST_MS = 8000;

export type FailureKind =
  /** Reset, hang, broken or foreign answer. */
  | 'fault'
  /** A whole answer that reports a server error at once. */
  | 'error-status'
  /** The same after the usual time of work, so that the request may be at fault. */
  | 'late-error-status'
  /** Another instance saw a fault or an error status. */
  | 'reported'
  /** The server is full and did not run the request. */
  | 'rejected'
  /** A kept connection was dead before the request was sent on it. */
  | 'stale-connection';

const STRIKES_BY_KIND: Record<FailureKind, number> = {
  fault: 1,
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
  private avoidanceCount = 0;
  private avoidedAtMs = -Infinity;
  private avoidUntilMs = 0;
  private needsTrial = false;
  private hasFailedTrial = false;
  private distrustIdleUntilMs = 0;

  private constructor(
    readonly server: CatalogServer,
    readonly pool: ServerPool,
    private readonly random: () => number,
  ) {}

  static create(
    server: CatalogServer,
    maxConnections: () => number,
    random: () => number = Math.random,
  ): ServerRecord {
    const {host, port} = server.report;
    const pool = ServerPool.create({host, port, maxConnections});
    return new ServerRecord(server, pool, random);
  }

  get serverId(): string {
    return this.server.report.serverId;
  }

  isAvoided(nowMs: number): boolean {
    return nowMs < this.avoidUntilMs;
  }

  /** Whether it was avoided and has not answered well since. */
  isOnTrial(nowMs: number): boolean {
    return this.needsTrial && !this.isAvoided(nowMs);
  }

  isWarm(nowMs: number): boolean {
    return nowMs >= this.server.warmUntilMs;
  }

  /** Whether connections that were idle for a while may be used. */
  trustsIdleConnections(nowMs: number): boolean {
    return nowMs >= this.distrustIdleUntilMs;
  }

  /** Whether it is avoided because a trial failed, too. */
  isConfirmedFailing(nowMs: number): boolean {
    return this.isAvoided(nowMs) && this.hasFailedTrial;
  }

  /** Monotonic time at which the avoidance ends. */
  get avoidedUntilMs(): number {
    return this.avoidUntilMs;
  }

  recordSuccess(): void {
    this.strikes = Math.max(0, this.strikes - STRIKES_FORGIVEN_PER_SUCCESS);
    // An answer to a request from before the failure proves nothing.
    if (!this.isAvoided(performance.now())) {
      this.needsTrial = false;
      this.hasFailedTrial = false;
    }
    if (this.strikes === 0) this.avoidanceCount = 0;
  }

  /** Returns whether the server is avoided from now on, or for longer. */
  recordFailure(sign: FailureKind): boolean {
    const nowMs = performance.now();
    if (sign === 'stale-connection') {
      this.distrustIdleUntilMs = nowMs + IDLE_DISTRUST_MS;
      this.pool.closeIdle();
    }
    if (this.isAvoided(nowMs)) {
      const isNewFailure = nowMs - this.avoidedAtMs >= SAME_FAILURE_WINDOW_MS;
      if (!isNewFailure || STRIKES_BY_KIND[sign] < AVOID_STRIKES) return false;
    } else {
      this.strikes += STRIKES_BY_KIND[sign];
      if (this.strikes < AVOID_STRIKES) return false;
    }
    this.avoid(nowMs, sign);
    return true;
  }

  readmit(): void {
    this.avoidUntilMs = 0;
  }

  private avoid(nowMs: number, sign: FailureKind): void {
    const pauseMs = Math.min(
      FIRST_AVOIDANCE_MS * AVOIDANCE_GROWTH ** this.avoidanceCount,
      MAX_AVOIDANCE_MS,
    );
    const delayShare =
      sign === 'reported'
        ? REPORTED_DELAY_MIN +
          (REPORTED_DELAY_MAX - REPORTED_DELAY_MIN) * this.random()
        : 0;
    this.hasFailedTrial ||= this.needsTrial && sign !== 'rejected';
    this.avoidanceCount += 1;
    this.avoidedAtMs = nowMs;
    this.avoidUntilMs = nowMs + pauseMs * (1 + delayShare);
    this.needsTrial = true;
    // One more failure after the pause is enough for the next one.
    this.strikes = AVOID_STRIKES / 2;
  }
}
