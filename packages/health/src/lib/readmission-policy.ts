/**
 * Readmits the servers of a service, and adopts states that peers report.
 *
 * One instance per server and region sends the probe. The others in the region
 * readmit the server when the frames of that instance report it as
 * `readmitted`. If the instance stops or is unreachable, the next one by
 * rendezvous hashing becomes the prober.
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
// A single peer may report a draining server wrongly or maliciously.
const MIN_REPORTERS_OF_DRAINING = 2;
// A probe occupies a slot for 25 ms, and the state that it returns lags.
const DRAIN_PROBE_INTERVAL_MS = 500;

export class ReadmissionPolicy {
  private constructor(private readonly options: ReadmissionPolicyOptions) {}

  static create(options: ReadmissionPolicyOptions): ReadmissionPolicy {
    return new ReadmissionPolicy(options);
  }

  /** Must be called once a period. */
  apply(health: ServiceHealth, liveInstances: number): void {
    for (const server of health.servers.values()) {
      if (server.needsReadmission()) {
        this.tryReadmission(health, server);
        continue;
      }
      if (takeProbeResult(server) === 'draining') health.rotation.drain(server);
      else this.adoptPeerStates(health, server, liveInstances);
    }
  }

  private tryReadmission(health: ServiceHealth, server: ServerHealth): void {
    const probed = takeProbeResult(server);
    if (probed) {
      applyProbe(health, server, probed);
      return;
    }
    if (performance.now() < server.readmitAtMs || server.probing) return;
    const {selfId, region} = health.options;
    const {serverId} = server;
    const {reports, rotation} = health;
    const readmitting = reports.findReporters(serverId, ['readmitted'], region);
    if (readmitting.length > 0) {
      rotation.readmit(server, 'readmitted');
      return;
    }
    const states = ['ejected', 'draining', 'held-out'] as const;
    const withholding = reports.findReporters(serverId, states, region);
    const peerIds = withholding.map(reporter => reporter.peerId);
    if (isProber(serverId, selfId, peerIds)) void this.sendProbe(server);
  }

  /** The next period applies the result: the service may be rebuilt meanwhile. */
  private async sendProbe(server: ServerHealth): Promise<void> {
    server.probing = true;
    const result = await this.options.probe(server.server);
    server.probing = false;
    server.probeResult = result;
    this.options.logger.debug('probe', {server: server.serverId, result});
  }

  /** Probes the server to verify the report of too few peers that it drains. */
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

  /** Adopts the draining states and ejections that enough peers report. */
  private adoptPeerStates(
    health: ServiceHealth,
    server: ServerHealth,
    liveInstances: number,
  ): void {
    // Peers may still have a server ejected that was just readmitted here.
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
    const reportedEjections = ejecting.map(reporter => reporter.ejections);
    server.ejections = Math.max(server.ejections, ...reportedEjections);
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
