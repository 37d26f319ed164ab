/**
 * Readmits servers of a service, and adopts states reported by peers.
 *
 * One instance per server and region sends the probe; the others of the region
 * follow it when its frames say `readmitted`. If it stops or is unreachable,
 * the next instance by rendezvous hashing becomes the prober.
 */
import type {Logger} from '@fireflytrack/telemetry';
import type {Probe, ProbeResult} from './probe.js';
import {delayDrainCheck, delayReadmission, isProber} from './readmission.js';
import type {ServerHealth} from './server-health.js';
import type {ServiceHealth} from './service-health.js';

export interface ReadmissionPolicyOptions {
  probe: Probe;
  logger: Logger;
}

const MIN_REPORTERS_OF_EJECTION = 3;
// One peer may be wrong or lying about a draining server.
const MIN_REPORTERS_OF_DRAINING = 2;
// A probe costs the server 25 ms of a slot, and its health answer lags.
const DRAIN_PROBE_INTERVAL_MS = 500;

export class ReadmissionPolicy {
  private constructor(private readonly options: ReadmissionPolicyOptions) {}

  static create(options: ReadmissionPolicyOptions): ReadmissionPolicy {
    return new ReadmissionPolicy(options);
  }

  /** To be called once a period. */
  apply(health: ServiceHealth, liveInstances: number): void {
    for (const server of health.servers.values()) {
      if (server.needsReadmission()) {
        this.considerReadmission(health, server);
        continue;
      }
      if (takeProbeResult(server) === 'draining') health.rotation.drain(server);
      else this.adoptPeerStates(health, server, liveInstances);
    }
  }

  private considerReadmission(
    health: ServiceHealth,
    server: ServerHealth,
  ): void {
    const probed = takeProbeResult(server);
    if (probed) {
      applyProbe(health, server, probed);
      return;
    }
    if (performance.now() < server.readmitAtMs || server.probing) return;
    const {selfId, region} = health.options;
    const {serverId} = server;
    const {reports, rotation} = health;
    const leaders = reports.findReporters(serverId, ['readmitted'], region);
    if (leaders.length > 0) {
      rotation.readmit(server, 'readmitted');
      return;
    }
    const states = ['ejected', 'draining', 'held-out'] as const;
    const others = reports.findReporters(serverId, states, region);
    const otherIds = others.map(reporter => reporter.peerId);
    if (isProber(serverId, selfId, otherIds)) void this.sendProbe(server);
  }

  /** The service may be rebuilt meanwhile, so the next period acts on it. */
  private async sendProbe(server: ServerHealth): Promise<void> {
    server.probing = true;
    const result = await this.options.probe(server.server);
    server.probing = false;
    server.probeResult = result;
    this.options.logger.debug('probe', {server: server.serverId, result});
  }

  /** Probes the server to verify a single peer's report that it drains. */
  private verifyDraining(server: ServerHealth): void {
    const nowMs = performance.now();
    if (
      server.probing ||
      nowMs < server.drainProbedAtMs + DRAIN_PROBE_INTERVAL_MS
    )
      return;
    server.drainProbedAtMs = nowMs;
    void this.sendProbe(server);
  }

  /** Lets a new instance adopt the ejections of the others in its region. */
  private adoptPeerStates(
    health: ServiceHealth,
    server: ServerHealth,
    liveInstances: number,
  ): void {
    // A server just readmitted here may still be ejected at peers.
    if (server.ramp) return;
    const {serverId} = server;
    const {reports, rotation} = health;
    const draining = reports.findReporters(serverId, ['draining']);
    const needed = Math.min(MIN_REPORTERS_OF_DRAINING, liveInstances - 1);
    if (draining.length > 0 && draining.length >= needed) {
      rotation.holdOut(server);
      return;
    }
    if (draining.length > 0) this.verifyDraining(server);
    const {region} = health.options;
    const ejecting = reports.findReporters(serverId, ['ejected'], region);
    if (ejecting.length < MIN_REPORTERS_OF_EJECTION) return;
    if (ejecting.length <= reports.countPeersInRegion(region) / 2) return;
    if (!rotation.eject(server, 1, 'told-by-peers')) return;
    const told = ejecting.map(reporter => reporter.ejections);
    server.ejections = Math.max(server.ejections, ...told);
  }
}

function takeProbeResult(server: ServerHealth): ProbeResult | undefined {
  const result = server.probeResult;
  server.probeResult = undefined;
  return result;
}

function applyProbe(
  health: ServiceHealth,
  server: ServerHealth,
  result: ProbeResult,
): void {
  if (result === 'up') health.rotation.readmit(server, 'readmitted');
  else if (result === 'cold') health.rotation.readmit(server, 'new');
  else if (result === 'draining') health.rotation.drain(server);
  else if (server.phase === 'draining') delayDrainCheck(server);
  else delayReadmission(server);
}
