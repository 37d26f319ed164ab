/**
 * Compares the latencies that this instance measures: determines for each
 * server the limit above which a response is slow, and counts slow responses
 * and overdue requests.
 */
import {LatencyBaseline} from './latency-baseline.js';
import {VERY_SLOW_FACTOR, slowFactor} from './latency-test.js';
import type {InFlightRequest, ServerHealth} from './server-health.js';

export interface LatencyTrackerOptions {
  regionOf(server: ServerHealth): string;
}

const DEFAULT_LATENCY_MS = 20;

export class LatencyTracker {
  private readonly baseline = LatencyBaseline.create();
  /** By server id: the median latency of the servers it is compared with. */
  private readonly referenceMedians = new Map<string, number | undefined>();
  /** Median latency of all usable servers; the default until it is known. */
  serviceMedianMs = DEFAULT_LATENCY_MS;

  private constructor(private readonly options: LatencyTrackerOptions) {}

  static create(options: LatencyTrackerOptions): LatencyTracker {
    return new LatencyTracker(options);
  }

  referenceMedianMs(serverId: string): number | undefined {
    return this.referenceMedians.get(serverId);
  }

  record(
    server: ServerHealth,
    attempt: InFlightRequest,
    latencyMs: number,
  ): void {
    server.path.recordLatency(latencyMs);
    this.baseline.record(server.serverId, latencyMs);
    this.countVerySlow(server, attempt, latencyMs);
    if (attempt.countedOverdue) return;
    const limitMs = this.slowLimitMs(server);
    if (limitMs === undefined) return;
    server.counts.latencySamples += 1;
    if (latencyMs > limitMs) server.counts.slowSamples += 1;
  }

  /** Counts requests that exceeded the limit while still in flight. */
  countOverdue(server: ServerHealth): void {
    const limitMs = this.slowLimitMs(server);
    if (limitMs === undefined) return;
    const nowMs = performance.now();
    for (const attempt of server.inFlight) {
      const elapsedMs = nowMs - attempt.startedAtMs;
      if (elapsedMs <= limitMs) continue;
      if (!attempt.countedOverdue) server.counts.overdue += 1;
      attempt.countedOverdue = true;
      this.countVerySlow(server, attempt, elapsedMs);
    }
  }

  /** Must be called once a period; sorting on each response is too expensive. */
  updateMedians(
    servers: Iterable<ServerHealth>,
    usable: readonly ServerHealth[],
  ): void {
    const {regionOf} = this.options;
    this.serviceMedianMs = this.computeMedianMs(usable) ?? this.serviceMedianMs;
    for (const server of servers) {
      const region = regionOf(server);
      const others = usable.filter(other => other !== server);
      const sameRegion = others.filter(other => regionOf(other) === region);
      const medianMs = this.computeMedianMs(
        sameRegion.length > 0 ? sameRegion : others,
      );
      this.referenceMedians.set(server.serverId, medianMs);
    }
  }

  private computeMedianMs(
    servers: readonly ServerHealth[],
  ): number | undefined {
    return this.baseline.medianMs(servers.map(server => server.serverId));
  }

  private countVerySlow(
    server: ServerHealth,
    attempt: InFlightRequest,
    latencyMs: number,
  ): void {
    const limitMs = this.slowLimitMs(server);
    if (limitMs === undefined || attempt.countedVerySlow) return;
    if (latencyMs <= limitMs * VERY_SLOW_FACTOR) return;
    attempt.countedVerySlow = true;
    server.counts.verySlowSamples += 1;
  }

  private slowLimitMs(server: ServerHealth): number | undefined {
    const medianMs = this.referenceMedians.get(server.serverId);
    const halveThresholds = server.ramp?.kind === 'readmitted';
    return medianMs === undefined
      ? undefined
      : medianMs * slowFactor(halveThresholds);
  }
}
