/** The servers of one service as this process sees them. */
import type {Logger} from '@fireflytrack/telemetry';
import type {RepeatBudget} from './repeat-budget.js';
import type {FailureSign, ServerRecord} from './server-record.js';

export interface ServiceStateOptions {
  name: string;
  budget: RepeatBudget;
  /** Share of the servers that stays in use whatever they do. */
  floorShare: number;
  /** A server failed a request of this instance. */
  onFailure(serverId: string): void;
  logger: Logger;
}

// Weight of one sample in the typical latency of the service.
const BASELINE_WEIGHT = 0.05;
// Before the first answer, half of the latency objective is expected.
const FIRST_BASELINE_SHARE = 0.5;

// An error after this part of the typical latency or more comes from a server
// that worked on the request; those of gray servers come within milliseconds.
const LATE_ERROR_SHARE = 0.3;
// Rejections and dead connections depend on the load and the connections of
// this instance; the other signs hold for every instance.
const TOLD_SIGNS: ReadonlySet<FailureSign> = new Set(['fault', 'error-status']);

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

  answered(
    record: ServerRecord,
    latencyMs: number,
    targetLatencyMs: number,
  ): void {
    const baselineMs = this.baselineMs(targetLatencyMs);
    this.typicalMs = baselineMs + (latencyMs - baselineMs) * BASELINE_WEIGHT;
    record.latency.add(latencyMs, baselineMs);
  }

  failed(record: ServerRecord, sign: FailureSign, reason: string): void {
    const isNews = this.judge(record, sign, reason);
    if (isNews && TOLD_SIGNS.has(sign)) this.options.onFailure(record.serverId);
  }

  /** The sign of a whole answer that reports a server error. */
  errorSign(latencyMs: number, targetLatencyMs: number): FailureSign {
    const typicalMs = this.baselineMs(targetLatencyMs);
    const isLate = latencyMs >= typicalMs * LATE_ERROR_SHARE;
    return isLate ? 'late-error-status' : 'error-status';
  }

  /** Another instance saw the server fail. */
  suspect(serverId: string): void {
    const record = this.records.find(one => one.serverId === serverId);
    if (record) this.judge(record, 'reported', 'another instance reported it');
  }

  /** Returns whether the server is avoided from now on, or for longer. */
  private judge(
    record: ServerRecord,
    sign: FailureSign,
    reason: string,
  ): boolean {
    if (!record.failed(sign)) return false;
    const {name, logger} = this.options;
    logger.info('server avoided', {
      service: name,
      server: record.serverId,
      sign,
      reason,
      forMs: Math.round(record.avoidedUntilMs - performance.now()),
    });
    this.keepFloor();
    return true;
  }

  describe(): unknown {
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

  /** Takes servers back, the earliest avoided first, until the floor holds. */
  private keepFloor(): void {
    const nowMs = performance.now();
    const avoided = this.records.filter(record => record.isAvoided(nowMs));
    const {floorShare} = this.options;
    const most = Math.floor(this.records.length * (1 - floorShare));
    avoided.sort((one, other) => one.avoidedUntilMs - other.avoidedUntilMs);
    const excess = Math.max(0, avoided.length - Math.max(1, most));
    for (const record of avoided.slice(0, excess)) record.readmit();
  }
}
