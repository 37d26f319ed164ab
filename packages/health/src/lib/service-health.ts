/** The health of the servers of one service, as assessed by this instance. */
import {isDeepStrictEqual} from 'node:util';
import type {Service} from '@fireflytrack/configuration';
import {pickOfTwo} from './balancer.js';
import type {EvidenceEntry} from './evidence-frame.js';
import {serverListDigest} from './evidence-frame.js';
import {LatencyTracker} from './latency-tracker.js';
import {isOverload} from './overload.js';
import {PeerReports} from './peer-reports.js';
import {zeroPeriodCounts} from './period-counts.js';
import {RAMP_MS} from './ramp.js';
import {Rotation} from './rotation.js';
import type {HealthTransition} from './rotation.js';
import {ServerHealth} from './server-health.js';
import type {InFlightRequest} from './server-health.js';
import type {ServerOutcome} from './server-selector.js';
import {computeVerdict} from './verdict.js';

export interface ServiceHealthOptions {
  service: Service;
  /** Servers of the previous configuration, by server id. */
  previousServers: ReadonlyMap<string, ServerHealth>;
  /** Whether servers that are not in `previousServers` start with a ramp. */
  rampNewServers: boolean;
  maxInstances: number;
  /** Id of this instance. */
  selfId: string;
  region: string;
  regionOfZone(availabilityZone: string): string;
  random(): number;
  onTransition(transition: HealthTransition): void;
}

export class ServiceHealth {
  readonly servers: ReadonlyMap<string, ServerHealth>;
  readonly sortedIds: readonly string[];
  readonly digest: number;
  readonly rotation: Rotation;
  readonly reports: PeerReports;
  private readonly latency = LatencyTracker.create({
    regionOf: server => this.regionOf(server),
  });

  private constructor(readonly options: ServiceHealthOptions) {
    const {service, maxInstances} = options;
    this.servers = createServers(options);
    this.sortedIds = [...this.servers.keys()].sort();
    this.digest = serverListDigest(this.sortedIds);
    this.rotation = Rotation.create({
      serviceName: service.name,
      capacityFloor: service.capacityFloor,
      servers: [...this.servers.values()],
      onTransition: options.onTransition,
    });
    const maxOutstanding = Math.ceil(
      service.connectionsPerServer / maxInstances,
    );
    this.reports = PeerReports.create(this.servers, maxOutstanding);
  }

  static create(options: ServiceHealthOptions): ServiceHealth {
    return new ServiceHealth(options);
  }

  /** Whether the settings are unchanged, so that this object can be kept. */
  hasSameSettings(service: Service, maxInstances: number): boolean {
    return (
      this.options.maxInstances === maxInstances &&
      isDeepStrictEqual(this.options.service, service)
    );
  }

  pick(excluded: ReadonlySet<string>): ServerHealth | undefined {
    let usable = this.rotation.usable();
    if (excluded.size > 0) {
      usable = usable.filter(server => !excluded.has(server.serverId));
    }
    return pickOfTwo(usable, {
      random: this.options.random,
      defaultLatencyMs: this.latency.serviceMedianMs,
    });
  }

  startRequest(server: ServerHealth): InFlightRequest {
    const attempt = {
      startedAtMs: performance.now(),
      countedOverdue: false,
      countedVerySlow: false,
    };
    server.inFlight.add(attempt);
    return attempt;
  }

  settle(
    server: ServerHealth,
    attempt: InFlightRequest,
    outcome: ServerOutcome,
  ): void {
    server.inFlight.delete(attempt);
    // A new configuration removed or replaced the server.
    if (this.servers.get(server.serverId) !== server) return;
    const {counts} = server;
    if (outcome.kind === 'draining') this.rotation.drain(server);
    if (outcome.kind === 'shed') {
      counts.shed += 1;
      server.path.recordShed();
    }
    if (outcome.kind === 'ok' || outcome.kind === 'caller-error') {
      counts.successes += 1;
      server.path.record('ok');
    }
    if (outcome.kind === 'fault' || outcome.kind === 'invalid') {
      counts[outcome.kind === 'fault' ? 'faults' : 'failedChecks'] += 1;
      server.path.record('fault');
      this.considerAvoidance(server);
    }
    // Refusals and caller errors often return early; their latency says little.
    if (outcome.kind === 'ok' || outcome.kind === 'invalid') {
      this.latency.record(server, attempt, outcome.latencyMs);
    }
  }

  /** Ends a period; returns the entries for peers, without counts if `stalled`. */
  closePeriod(stalled: boolean): EvidenceEntry[] {
    const {selfId, region} = this.options;
    const entries: EvidenceEntry[] = [];
    this.latency.updateMedians(this.servers.values(), this.rotation.usable());
    this.sortedIds.forEach((serverId, index) => {
      const server = this.servers.get(serverId)!;
      if (!stalled) {
        this.latency.countOverdue(server);
        server.pool.add(selfId, region, server.counts);
      }
      const entry = {
        index,
        state: server.reportedState(),
        ejections: server.ejections,
        outstanding: server.inFlight.size,
        counts: stalled ? zeroPeriodCounts() : server.counts,
      };
      entries.push(entry);
      server.counts = zeroPeriodCounts();
      server.path.closePeriod(this.latency.referenceMedianMs(serverId));
      this.endExpiredPhases(server);
    });
    this.reports.expire();
    return entries;
  }

  receiveReport(
    peerId: string,
    region: string,
    entries: readonly EvidenceEntry[],
  ): void {
    const entriesById = new Map<string, EvidenceEntry>();
    for (const entry of entries) {
      const serverId = this.sortedIds[entry.index];
      const server = serverId ? this.servers.get(serverId) : undefined;
      if (!server || !serverId) continue;
      entriesById.set(serverId, entry);
      server.pool.add(peerId, region, entry.counts);
    }
    this.reports.receive(peerId, region, entriesById);
  }

  /** Ejects the servers that the pooled evidence shows unhealthy, worst first. */
  evaluate(liveInstances: number): void {
    const candidates = [];
    for (const server of this.servers.values()) {
      if (server.needsReadmission()) continue;
      const verdict = computeVerdict(server.pool, {
        liveInstances,
        halveThresholds: server.ramp?.kind === 'readmitted',
        testLatency: server.ramp?.kind !== 'new',
      });
      if (verdict) candidates.push({server, verdict});
    }
    if (candidates.length === 0) return;
    const options = {
      usable: this.rotation.usable(),
      regionOf: (server: ServerHealth) => this.regionOf(server),
    };
    candidates.sort((a, b) => b.verdict.severity - a.verdict.severity);
    for (const {server, verdict} of candidates) {
      if (isOverload(server, verdict, options))
        server.pool.ignoreEvidenceSoFar();
      else this.rotation.eject(server, verdict.severity, verdict.reason);
    }
  }

  outstandingHere(): number {
    let sum = 0;
    for (const server of this.rotation.usable()) sum += server.inFlight.size;
    return sum;
  }

  outstandingAtPeers(): number {
    let sum = 0;
    for (const server of this.rotation.usable()) sum += server.peerOutstanding;
    return sum;
  }

  private endExpiredPhases(server: ServerHealth): void {
    const nowMs = performance.now();
    const {ramp, phase, path} = server;
    if (ramp && nowMs - ramp.startedAtMs >= RAMP_MS) server.ramp = undefined;
    if (phase === 'avoided' && nowMs >= path.avoidedUntilMs) {
      this.rotation.endAvoidance(server);
    }
  }

  /**
   * Avoids the server, unless most servers fail here, which indicates a local
   * network fault.
   */
  private considerAvoidance(server: ServerHealth): void {
    if (!server.path.shouldAvoid()) return;
    const usable = this.rotation.usable();
    const suspects = usable.filter(candidate => candidate.path.isSuspect());
    if (suspects.length > usable.length / 2) return;
    this.rotation.avoid(server);
  }

  private regionOf({server}: ServerHealth): string {
    return this.options.regionOfZone(server.availabilityZone);
  }
}

function createServers(
  options: ServiceHealthOptions,
): Map<string, ServerHealth> {
  const {service, previousServers, rampNewServers} = options;
  const servers = new Map<string, ServerHealth>();
  for (const server of service.servers) {
    const previous = previousServers.get(server.serverId);
    const health =
      previous?.slots === service.slotsPerServer
        ? previous
        : ServerHealth.create(server, service.slotsPerServer);
    if (!previous && rampNewServers) {
      health.ramp = {kind: 'new', startedAtMs: performance.now()};
    }
    // The next frames of the peers restore this sum.
    health.peerOutstanding = 0;
    servers.set(server.serverId, health);
  }
  return servers;
}
