/** What this process knows of one backend server: load, latency, failures. */
import type {CatalogServer} from '@fireflytrack/discovery';
import {LatencyEstimate} from './latency-estimate.js';
import {ServerPool} from './server-pool.js';

// Pause after the first failures, doubled for each that follows. Gray phases
// last about 5 s, so that two or three pauses span one.
const FIRST_AVOID_MS = 1500;
const MAX_AVOID_MS = 6000;
// Strikes at which a server is avoided. One failed status is enough: sound
// servers fail about one request in a hundred, gray ones most of them.
const AVOID_STRIKES = 1;
const STRIKES_FORGIVEN_PER_SUCCESS = 0.25;

export type FailureSign =
  /** Reset, hang, broken or foreign answer. */
  | 'fault'
  /** A whole answer that reports a server error. */
  | 'error-status'
  /** Another instance saw a fault or an error status. */
  | 'reported'
  /** The server is full and did not run the request. */
  | 'rejected';

const STRIKES: Record<FailureSign, number> = {
  fault: 1,
  'error-status': 1,
  reported: 1,
  rejected: 0.5,
};

export class ServerRecord {
  readonly latency = LatencyEstimate.create();
  inFlight = 0;
  private strikes = 0;
  private avoidances = 0;
  private avoidUntilMs = 0;

  private constructor(
    readonly server: CatalogServer,
    readonly pool: ServerPool,
  ) {}

  static create(
    server: CatalogServer,
    maxConnections: () => number,
  ): ServerRecord {
    const {host, port} = server.report;
    const pool = ServerPool.create({host, port, maxConnections});
    return new ServerRecord(server, pool);
  }

  get serverId(): string {
    return this.server.report.serverId;
  }

  isAvoided(nowMs: number): boolean {
    return nowMs < this.avoidUntilMs;
  }

  isWarm(nowMs: number): boolean {
    return nowMs >= this.server.warmUntilMs;
  }

  /** Monotonic time at which the avoidance ends. */
  get avoidedUntilMs(): number {
    return this.avoidUntilMs;
  }

  succeeded(): void {
    this.strikes = Math.max(0, this.strikes - STRIKES_FORGIVEN_PER_SUCCESS);
    if (this.strikes === 0) this.avoidances = 0;
  }

  /** Returns whether the server is avoided from now on. */
  failed(sign: FailureSign): boolean {
    this.strikes += STRIKES[sign];
    if (this.strikes < AVOID_STRIKES) return false;
    const nowMs = performance.now();
    if (this.isAvoided(nowMs)) return false;
    const avoidMs = FIRST_AVOID_MS * 2 ** this.avoidances;
    this.avoidances += 1;
    this.avoidUntilMs = nowMs + Math.min(avoidMs, MAX_AVOID_MS);
    // One more failure after the pause is enough for the next one.
    this.strikes = AVOID_STRIKES / 2;
    return true;
  }

  readmit(): void {
    this.avoidUntilMs = 0;
  }
}
