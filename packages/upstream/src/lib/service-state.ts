/** The servers of one service as this process sees them. */
import type {Logger} from '@fireflytrack/telemetry';
import type {RepeatBudget} from './retry-budget.js';
import type {FailureKind, ServerRecord} from './server-record.js';

export interface ServiceStateOptions {
  name: string;
  budget: RepeatBudget;
  /** Share of the servers that stays in use whatever they do. */
  floorShare: number;
  /** How far a server is; larger is farther. */
  distanceOf(record: ServerRecord): number;
  /** A server failed a request of this instance and is avoided for it. */
  onFailure(serverId: string, failedTrial: boolean): void;
  logger: Logger;
}

// Weight of one sample in the typical latency of the service.
const BASELINE_WEIGHT = 0.05;
// Before the first answer, half of the latency objective is expected.
const FIRST_BASELINE_SHARE = 0.5;

// An error after this part of the typical latency or more comes from a server
// that worked on the request; those of gray servers come within milliseconds.
const LATE_ERROR_SHARE = 0.3;
// Beyond this share of a service, failures are more likely to lie with the
// requests or the paths than with the servers.
const MAX_AVOIDED_SHARE = 0.5;
// Rejections and dead connections depend on the load and the connections of
// this instance; the other signs hold for every instance.
const REPORTED_FAILURE_KINDS: ReadonlySet<FailureKind> = new Set([
  'fault',
  'error-status',
]);

export class ServiceState {
  readonly records: ServerRecord[] = [];
  private typicalMs: number | undefined;

  private constructor(private readonly options: ServiceStateOptions) {}

  static create(options: ServiceStateOptions): ServiceState {
    return new ServiceState(options);
  }

  get budget(): RepeatBudget {
    return this.options.budget;
  }

  add(record: ServerRecord): void {
    this.records.push(record);
  }

  remove(record: ServerRecord): void {
    const index = this.records.indexOf(record);
    if (index >= 0) this.records.splice(index, 1);
  }

  baselineMs(targetLatencyMs: number): number {
    return this.typicalMs ?? targetLatencyMs * FIRST_BASELINE_SHARE;
  }

  recordResponse(
    record: ServerRecord,
    latencyMs: number,
    targetLatencyMs: number,
  ): void {
    const baselineMs = this.baselineMs(targetLatencyMs);
    this.typicalMs = baselineMs + (latencyMs - baselineMs) * BASELINE_WEIGHT;
    record.latency.add(latencyMs, baselineMs);
  }

  recordFailure(record: ServerRecord, sign: FailureKind, reason: string): void {
    const isNews = this.applyFailure(record, sign, reason);
    if (!isNews || !REPORTED_FAILURE_KINDS.has(sign)) return;
    const failedTrial = record.isConfirmedFailing(performance.now());
    this.options.onFailure(record.serverId, failedTrial);
  }

  /** The sign of a whole answer that reports a server error. */
  classifyError(latencyMs: number, targetLatencyMs: number): FailureKind {
    const typicalMs = this.baselineMs(targetLatencyMs);
    const isLate = latencyMs >= typicalMs * LATE_ERROR_SHARE;
    return isLate ? 'late-error-status' : 'error-status';
  }

  /** Another instance saw the server fail. */
  recordReportedFailure(serverId: string): void {
    const record = this.records.find(one => one.serverId === serverId);
    if (record)
      this.applyFailure(record, 'reported', 'another instance reported it');
  }

  /** Returns whether the server is avoided from now on, or for longer. */
  private applyFailure(
    record: ServerRecord,
    sign: FailureKind,
    reason: string,
  ): boolean {
    if (!record.recordFailure(sign)) return false;
    const {name, logger} = this.options;
    logger.info('server avoided', {
      service: name,
      server: record.serverId,
      sign,
      reason,
      forMs: Math.round(record.avoidedUntilMs - performance.now()),
    });
    this.enforceFloor();
    return true;
  }

  dumpState(): unknown {
    const nowMs = performance.now();
    return {
      typicalMs: this.typicalMs,
      servers: this.records.map(record => ({
        server: record.serverId,
        inFlight: record.inFlight,
        latencyMs: record.latency.read(this.typicalMs ?? 0),
        avoided: record.isAvoided(nowMs),
      })),
    };
  }

  /**
   * Takes servers back until the floor holds. It is a share of the servers that
   * may be sound: those that failed a trial as well are left out, unless too
   * few others remain.
   */
  private enforceFloor(): void {
    const nowMs = performance.now();
    const avoided = this.records.filter(record => record.isAvoided(nowMs));
    const failing = avoided.filter(record => record.isConfirmedFailing(nowMs));
    const suspected = avoided.filter(record => !failing.includes(record));
    const possiblyHealthy = this.records.length - failing.length;
    const maxSuspected = Math.max(
      1,
      Math.floor(possiblyHealthy * (1 - this.options.floorShare)),
    );
    this.readmitExcess(maxSuspected, suspected);
    const maxAvoided = Math.floor(this.records.length * MAX_AVOIDED_SHARE);
    const kept = Math.min(suspected.length, maxSuspected);
    this.readmitExcess(Math.max(0, maxAvoided - kept), failing);
  }

  /**
   * Takes back all but `most` of the servers: the farthest first, since other
   * instances are nearer to them and know them better, then the earliest
   * avoided.
   */
  private readmitExcess(most: number, avoided: ServerRecord[]): void {
    const {distanceOf} = this.options;
    avoided.sort(
      (one, other) =>
        distanceOf(other) - distanceOf(one) ||
        one.avoidedUntilMs - other.avoidedUntilMs,
    );
    const excess = Math.max(0, avoided.length - most);
    for (const record of avoided.slice(0, excess)) record.readmit();
  }
}
