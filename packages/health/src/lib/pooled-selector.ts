/**
 * Server selection by evidence that all instances pool, with a capacity floor.
 *
 * Each instance counts the outcomes of its own requests, broadcasts the counts
 * every 200 ms and computes its own verdicts from the counts of all instances;
 * no instance decides for the others.
 */
import type {
  ConfigurationSource,
  VersionedConfiguration,
} from '@fireflytrack/configuration';
import type {Membership} from '@fireflytrack/membership';
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {Logger, Metrics} from '@fireflytrack/telemetry';
import type {PeerIdentity, PeerNetwork} from '@fireflytrack/wire';
import {
  EVIDENCE_KIND,
  decodeEntry,
  encodeEntry,
  evidenceFrameSchema,
} from './evidence-frame.js';
import type {EvidenceFrame} from './evidence-frame.js';
import {TimerIntervalScheduler} from './interval-scheduler.js';
import type {IntervalScheduler} from './interval-scheduler.js';
import {PERIOD_MS} from './period-counts.js';
import type {Probe} from './probe.js';
import {RetryBudget} from './retry-budget.js';
import {ReadmissionPolicy} from './readmission-policy.js';
import type {HealthTransition} from './rotation.js';
import type {
  NoServerError,
  SelectOptions,
  Selection,
  ServerOutcome,
  ServerSelector,
} from './server-selector.js';
import {ServiceHealth} from './service-health.js';
import {describeService} from './service-state.js';
import type {ServiceState} from './service-state.js';
import {STALL_CHECK_MS, StallDetector} from './stall-detector.js';

export interface PooledSelectorOptions {
  source: ConfigurationSource;
  network: PeerNetwork;
  membership: Membership;
  logger: Logger;
  metrics: Metrics;
  probe: Probe;
  /** Schedules the periodic work; proofs replace it to pause one instance. */
  scheduler?: IntervalScheduler;
  /** Math.random by default; replaced in seeded runs. */
  random?(): number;
  onTransition?(transition: HealthTransition): void;
}

// The frames of 40 peers arrive spread over a period. Evaluating several times
// per period shortens the time to detection by most of a period.
const EVALUATION_PERIOD_MS = 20;
const NO_SERVER_RETRY_MS = 1000;
// A request in transit between regions (8 ms each way) occupies no slot; twice
// as many requests as slots keep the servers busy meanwhile.
const IN_FLIGHT_PER_SLOT = 2;

export class PooledSelector implements ServerSelector {
  readonly retryBudget = RetryBudget.create();
  private readonly services = new Map<string, ServiceHealth>();
  private readonly regions = new Map<string, string>();
  private readonly stallDetector = StallDetector.create();
  private readonly readmissionPolicy: ReadmissionPolicy;
  private stopTimers: (() => void)[] = [];
  private periodStartMs = performance.now();
  private liveInstances = 1;
  private hasNewEvidence = false;
  private configured = false;

  private constructor(private readonly options: PooledSelectorOptions) {
    this.readmissionPolicy = ReadmissionPolicy.create(options);
    options.network.onMessage(EVIDENCE_KIND, (from, payload) =>
      this.receiveEvidence(from, payload),
    );
    options.source.onChange(current => this.configure(current));
  }

  static create(options: PooledSelectorOptions): PooledSelector {
    return new PooledSelector(options);
  }

  start(): void {
    const pacer = this.options.scheduler ?? TimerIntervalScheduler.create();
    this.periodStartMs = performance.now();
    this.stallDetector.check();
    this.updateMembers();
    this.stopTimers = [
      pacer.every(STALL_CHECK_MS, () => this.stallDetector.check()),
      pacer.every(PERIOD_MS, () => this.closePeriod()),
      pacer.every(EVALUATION_PERIOD_MS, () => this.evaluate()),
    ];
  }

  stop(): void {
    for (const stop of this.stopTimers) stop();
    this.stopTimers = [];
  }

  select(
    serviceName: string,
    options: SelectOptions,
  ): Result<Selection, NoServerError> {
    const health = this.services.get(serviceName);
    if (options.excluded.size === 0)
      this.retryBudget.recordRequest(serviceName);
    const server = health?.pick(options.excluded);
    if (!health || !server) {
      return Err({kind: 'no-server', retryAfterMs: NO_SERVER_RETRY_MS});
    }
    const attempt = health.startRequest(server);
    // A new configuration may replace the ServiceHealth before the response.
    const settle = (outcome: ServerOutcome) =>
      (this.services.get(serviceName) ?? health).settle(
        server,
        attempt,
        outcome,
      );
    return Ok({server: server.server, settle});
  }

  /**
   * Number of requests that this instance may send now without making them wait
   * at the servers: the slots that no instance uses, but at least this
   * instance's equal share of all slots, less its own requests.
   */
  freeSlots(serviceName: string): number {
    const health = this.services.get(serviceName);
    const totalSlots = health?.rotation.capacitySlots() ?? 0;
    if (!health || totalSlots === 0) return 0;
    const ownRequests = health.outstandingHere();
    const unused = totalSlots - ownRequests - health.outstandingAtPeers();
    const share = Math.max(1, totalSlots / this.liveInstances);
    return Math.max(0, Math.floor(unused), Math.floor(share - ownRequests));
  }

  /**
   * Number of requests that this instance may have in flight to the service:
   * IN_FLIGHT_PER_SLOT per slot, less those of peers, but at least its equal
   * share.
   */
  inFlightLimit(serviceName: string): number {
    const health = this.services.get(serviceName);
    if (!health) return 1;
    const total = health.rotation.capacitySlots() * IN_FLIGHT_PER_SLOT;
    const available = total - health.outstandingAtPeers();
    return Math.max(
      1,
      Math.floor(available),
      Math.ceil(total / this.liveInstances),
    );
  }

  state(): ServiceState[] {
    return [...this.services.values()].map(describeService);
  }

  private configure({configuration}: VersionedConfiguration): void {
    const {network, random = Math.random} = this.options;
    for (const name of [...this.services.keys()]) {
      if (!configuration.services.has(name)) this.services.delete(name);
    }
    for (const service of configuration.services.values()) {
      const previous = this.services.get(service.name);
      const {maxInstances} = configuration;
      if (previous?.hasSameSettings(service, maxInstances)) continue;
      const health = ServiceHealth.create({
        service,
        previousServers: previous?.servers ?? new Map(),
        rampNewServers: this.configured,
        maxInstances,
        selfId: network.self.instanceId,
        region: network.self.region,
        regionOfZone: zone => this.regions.get(zone) ?? zone,
        random,
        onTransition: transition => this.reportTransition(transition),
      });
      this.services.set(service.name, health);
    }
    this.configured = true;
  }

  private closePeriod(): void {
    const stalled = this.stallDetector.stalledSince(this.periodStartMs);
    this.periodStartMs = performance.now();
    this.updateMembers();
    const frame: EvidenceFrame = [];
    for (const [name, health] of this.services) {
      const entries = health
        .closePeriod(stalled)
        .map(encodeEntry)
        .filter(fields => fields.length > 1);
      if (entries.length > 0) frame.push([name, health.digest, entries]);
      this.readmissionPolicy.apply(health, this.liveInstances);
    }
    this.hasNewEvidence = true;
    this.options.network.broadcast(EVIDENCE_KIND, frame);
  }

  private receiveEvidence(from: PeerIdentity, payload: unknown): void {
    const frame = evidenceFrameSchema.safeParse(payload);
    if (!frame.success) {
      this.options.metrics.count('health.bad_frames');
      return;
    }
    const servicesInFrame = new Map(frame.data.map(part => [part[0], part]));
    for (const [name, health] of this.services) {
      const [, digest, entries] = servicesInFrame.get(name) ?? [
        name,
        health.digest,
        [],
      ];
      if (digest !== health.digest) continue;
      health.receiveReport(
        from.instanceId,
        from.region,
        entries.map(decodeEntry),
      );
    }
    this.hasNewEvidence = true;
  }

  private evaluate(): void {
    if (!this.hasNewEvidence) return;
    this.hasNewEvidence = false;
    for (const health of this.services.values()) {
      health.evaluate(this.liveInstances);
    }
  }

  /** Updates the number of live instances and the regions of the zones. */
  private updateMembers(): void {
    const {membership} = this.options;
    this.liveInstances = membership.liveIds().length;
    const others = membership.others().map(member => member.identity);
    for (const {availabilityZone, region} of [membership.self, ...others]) {
      this.regions.set(availabilityZone, region);
    }
  }

  private reportTransition(transition: HealthTransition): void {
    const {logger, metrics, onTransition} = this.options;
    const {serviceName, to, reason} = transition;
    metrics.count('health.transitions', {service: serviceName, to, reason});
    logger.info('backend server changed phase', {...transition});
    onTransition?.(transition);
  }
}
