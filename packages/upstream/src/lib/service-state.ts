/** State of one service's servers, as observed by this process. */
import type {Logger} from '@fireflytrack/telemetry';
import type {RetryBudget} from './retry-budget.js';
import {FailureShare} from './failure-share.js';
import {RouteLatencies} from './route-latencies.js';
import type {FailureKind, ServerRecord} from './server-record.js';

export interface ServiceStateOptions {
  name: string;
  budget: RetryBudget;
  /** Number of instances in the fleet, if it was counted. */
  countedInstances(): number | undefined;
  /** Minimum share of the servers that stays in use even if they fail. */
  floorShare: number;
  /** Relative distance of a server; larger is farther. */
  distanceOf(record: ServerRecord): number;
  /** Called when a server is avoided because it failed a request here. */
  onFailure(serverId: string, failedTrial: boolean): void;
  logger: Logger;
}

// Weight of one sample in the typical latency of the service.
const BASELINE_WEIGHT = 0.05;
// Before the first response, this share of the latency objective is assumed.
const FIRST_BASELINE_SHARE = 0.5;

// An error that takes at least this share of the typical latency comes from a
// server that processed the request; gray servers fail within milliseconds.
const LATE_ERROR_SHARE = 0.3;
// When more than this share of a service fails, the cause is more likely the
// requests or the network than the servers.
const MAX_AVOIDED_SHARE = 0.5;
// Failures that concern every instance. Rejections and dead connections depend on
// the load and the connections of this instance.
const REPORTED_FAILURE_KINDS: ReadonlySet<FailureKind> = new Set([
  'fault',
  'error-status',
]);

// Operators require the floor while more than a tenth of the requests to a service
// fail; the rest of the tenth is for errors of the estimate.
const FEW_FAILURES_SHARE = 0.06;

const NO_SERVERS: ReadonlySet<ServerRecord> = new Set();

/** What an instance believes about servers; each server counts once. */
export interface ServerBeliefs {
  /** Avoided after a failure. */
  suspected: number;
  /** Avoided after a failed trial as well; the floor does not count them. */
  failing: number;
  /** Not avoided any more, but without a successful response since. */
  onTrial: number;
  /** All others. */
  trusted: number;
}

export class ServiceState {
  readonly records: ServerRecord[] = [];
  /** Avoidances that the floor ended early. */
  readmissions = 0;
  private typicalMs: number | undefined;
  private readonly routes = RouteLatencies.create();
  private readonly failureShare: FailureShare;

  private constructor(private readonly options: ServiceStateOptions) {
    this.failureShare = FailureShare.create(() => options.countedInstances());
  }

  static create(options: ServiceStateOptions): ServiceState {
    return new ServiceState(options);
  }

  get budget(): RetryBudget {
    return this.options.budget;
  }

  add(record: ServerRecord): void {
    this.records.push(record);
  }

  remove(record: ServerRecord): void {
    const index = this.records.indexOf(record);
    if (index >= 0) this.records.splice(index, 1);
  }

  /** Typical latency of the service. */
  baselineMs(targetLatencyMs: number): number {
    return this.typicalMs ?? targetLatencyMs * FIRST_BASELINE_SHARE;
  }

  /** Records the latency of a successful response. */
  recordResponse(
    record: ServerRecord,
    route: string,
    latencyMs: number,
    targetLatencyMs: number,
  ): void {
    this.routes.recordResponse(route, latencyMs);
    const baselineMs = this.baselineMs(targetLatencyMs);
    this.typicalMs = baselineMs + (latencyMs - baselineMs) * BASELINE_WEIGHT;
    record.latency.add(latencyMs, baselineMs);
    this.failureShare.recordEnd(true);
  }

  recordFailure(record: ServerRecord, kind: FailureKind, reason: string): void {
    this.failureShare.recordEnd(false);
    const isNewAvoidance = this.applyFailure(record, kind, reason);
    if (!isNewAvoidance || !REPORTED_FAILURE_KINDS.has(kind)) return;
    const failedTrial = record.isConfirmedFailing(performance.now());
    this.options.onFailure(record.serverId, failedTrial);
  }

  /** Records that a server did not respond by the deadline of a request. */
  recordMiss(record: ServerRecord, route: string, waitedMs: number): void {
    const cause = this.routes.findMissCause(route, waitedMs);
    if (cause === 'deadline') return;
    const kind = cause === 'server' ? 'fault' : 'unproven-miss';
    this.recordFailure(record, kind, 'no answer by the deadline');
  }

  /** Records a request that ended without an answer of a server. */
  recordUnserved(): void {
    this.failureShare.recordEnd(false);
  }

  /** Classifies a complete response that reports a server error. */
  classifyError(latencyMs: number, targetLatencyMs: number): FailureKind {
    const typicalMs = this.baselineMs(targetLatencyMs);
    const isLate = latencyMs >= typicalMs * LATE_ERROR_SHARE;
    return isLate ? 'late-error-status' : 'error-status';
  }

  /** Records a failure that another instance observed. */
  recordReportedFailure(serverId: string): void {
    const record = this.records.find(item => item.serverId === serverId);
    if (record)
      this.applyFailure(record, 'reported', 'another instance reported it');
  }

  /** Returns whether this started or extended an avoidance. */
  private applyFailure(
    record: ServerRecord,
    kind: FailureKind,
    reason: string,
  ): boolean {
    this.failureShare.recordServerFailure();
    if (!record.recordFailure(kind)) return false;
    const {name, logger} = this.options;
    logger.info('server avoided', {
      service: name,
      server: record.serverId,
      sign: kind,
      reason,
      forMs: Math.round(record.avoidedUntilMs - performance.now()),
    });
    this.enforceFloor();
    return true;
  }

  /**
   * Servers whose trial should not be made by a one-time request yet. Those whose
   * trial is due first are left out when more servers would be unused than the
   * floor allows, since all of them may have recovered. The floor counts only
   * while many requests fail.
   */
  findWithheld(): ReadonlySet<ServerRecord> {
    const nowMs = performance.now();
    const withheld = this.records.filter(record => record.isWithheld(nowMs));
    if (withheld.length === 0) return NO_SERVERS;
    const staying = this.records.filter(({signals}) => !signals.isLeaving);
    const avoided = staying.filter(record => record.isAvoided(nowMs)).length;
    const maxUnusedShare =
      this.failureShare.read() <= FEW_FAILURES_SHARE
        ? MAX_AVOIDED_SHARE
        : 1 - this.options.floorShare;
    const maxUnused = Math.floor(staying.length * maxUnusedShare);
    return new Set(
      withheld
        .sort((a, b) => b.onceTrialAtMs - a.onceTrialAtMs)
        .slice(0, Math.max(0, maxUnused - avoided)),
    );
  }

  countBeliefs(): ServerBeliefs {
    const nowMs = performance.now();
    const beliefs = {suspected: 0, failing: 0, onTrial: 0, trusted: 0};
    for (const record of this.records) {
      if (record.isConfirmedFailing(nowMs)) beliefs.failing += 1;
      else if (record.isAvoided(nowMs)) beliefs.suspected += 1;
      else if (record.isOnTrial(nowMs)) beliefs.onTrial += 1;
      else beliefs.trusted += 1;
    }
    return beliefs;
  }

  dumpState(): unknown {
    const nowMs = performance.now();
    return {
      typicalMs: this.typicalMs,
      readmissions: this.readmissions,
      beliefs: this.countBeliefs(),
      servers: this.records.map(record => ({
        server: record.serverId,
        inFlight: record.inFlight,
        latencyMs: record.latency.read(this.typicalMs ?? 0),
        avoided: record.isAvoided(nowMs),
      })),
    };
  }

  /**
   * Readmits avoided servers until the floor is met. The floor is a share of the
   * servers that stay and may be healthy: servers that also failed a trial don't
   * count, unless too few others remain.
   */
  private enforceFloor(): void {
    const nowMs = performance.now();
    // A server that leaves takes nothing new, whether it is readmitted or not.
    const staying = this.records.filter(({signals}) => !signals.isLeaving);
    const avoided = staying.filter(record => record.isAvoided(nowMs));
    const failing = avoided.filter(record => record.isConfirmedFailing(nowMs));
    const suspected = avoided.filter(record => !failing.includes(record));
    const possiblyHealthy = staying.length - failing.length;
    const maxSuspected = Math.max(
      1,
      Math.floor(possiblyHealthy * (1 - this.options.floorShare)),
    );
    this.readmitExcess(maxSuspected, suspected);
    const maxAvoided = Math.floor(staying.length * MAX_AVOIDED_SHARE);
    const kept = Math.min(suspected.length, maxSuspected);
    this.readmitExcess(Math.max(0, maxAvoided - kept), failing);
  }

  /**
   * Readmits all but `maxCount` of the servers: the farthest first, since nearer
   * instances know them better, then those whose avoidance ends first.
   */
  private readmitExcess(maxCount: number, avoided: ServerRecord[]): void {
    const {distanceOf} = this.options;
    avoided.sort(
      (a, b) =>
        distanceOf(b) - distanceOf(a) || a.avoidedUntilMs - b.avoidedUntilMs,
    );
    const excess = Math.max(0, avoided.length - maxCount);
    for (const record of avoided.slice(0, excess)) this.readmit(record);
  }

  private readmit(record: ServerRecord): void {
    this.readmissions += 1;
    const {name, logger} = this.options;
    logger.info('server readmitted', {
      service: name,
      server: record.serverId,
      earlyByMs: Math.round(record.avoidedUntilMs - performance.now()),
    });
    record.readmit();
  }
}
