/**
 * Compares latencies at one reporter: the limit above which a response of
 * each server is slow, and the counts of slow responses and overdue requests.
 */
import {LatencyBaseline} from './latency-baseline.js';
import {VERY_SLOW_MULTIPLE, slowFactor} from './latency-test.js';
import type {InFlight, ServerHealth} from './server-health.js';

export interface LatencyTrackerOptions {
  regionOf(server: ServerHealth): string;
}

const DEFAULT_LATENCY_MS = 20;

export class LatencyTracker {
  private readonly baseline = LatencyBaseline.create();
  /** Median latency of the servers comparable with each one. */
  private readonly medians = new Map<string, number | undefined>();
  /** Median over the service. */
  usualLatencyMs = DEFAULT_LATENCY_MS;

  private constructor(private readonly options: LatencyTrackerOptions) {}

  static create(options: LatencyTrackerOptions): LatencyTracker {
    return new LatencyTracker(options);
  }

  medianMs(serverId: string): number | undefined {
    return this.medians.get(serverId);
  }

  record(server: ServerHealth, attempt: InFlight, latencyMs: number): void {
    server.path.recordLatency(latencyMs);
    this.baseline.record(server.serverId, latencyMs);
    this.countVerySlow(server, attempt, latencyMs);
    if (attempt.countedOverdue) return;
    const limitMs = this.slowLimitMs(server);
    if (limitMs === undefined) return;
    server.counts.latencySamples += 1;
    if (latencyMs > limitMs) server.counts.slowSamples += 1;
  }

  /** Counts requests that became too slow while they are in flight. */
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

  /** To be called once a period: sorting on each response would be too expensive. */
  updateMedians(
    servers: Iterable<ServerHealth>,
    usable: readonly ServerHealth[],
  ): void {
    const {regionOf} = this.options;
    this.usualLatencyMs = this.medianOf(usable) ?? this.usualLatencyMs;
    for (const server of servers) {
      const region = regionOf(server);
      const others = usable.filter(one => one !== server);
      const near = others.filter(one => regionOf(one) === region);
      const medianMs = this.medianOf(near.length > 0 ? near : others);
      this.medians.set(server.serverId, medianMs);
    }
  }

  private medianOf(servers: readonly ServerHealth[]): number | undefined {
    return this.baseline.medianMs(servers.map(one => one.serverId));
  }

  private countVerySlow(
    server: ServerHealth,
    attempt: InFlight,
    latencyMs: number,
  ): void {
    const limitMs = this.slowLimitMs(server);
    if (limitMs === undefined || attempt.countedVerySlow) return;
    if (latencyMs <= limitMs * VERY_SLOW_MULTIPLE) return;
    attempt.countedVerySlow = true;
    server.counts.verySlowSamples += 1;
  }

  private slowLimitMs(server: ServerHealth): number | undefined {
    const medianMs = this.medians.get(server.serverId);
    const halved = server.ramp?.kind === 'readmitted';
    return medianMs === undefined ? undefined : medianMs * slowFactor(halved);
  }
}
