/**
 * Selection by evidence that all instances pool, with a floor on capacity.
 *
 * Each instance counts what it sees, broadcasts the counts every 200 ms and
 * reaches its own verdict from the sum; no instance decides for the others.
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
import {TimerPacer} from './pacer.js';
import type {Pacer} from './pacer.js';
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
  /** Replaced in proofs that pause one instance. */
  pacer?: Pacer;
  /** Replaced in seeded runs; Math.random otherwise. */
  random?(): number;
  onTransition?(transition: HealthTransition): void;
}

// Frames of 40 peers arrive spread over a period; testing several times in it
// saves most of a period of the time to detect.
const EVALUATE_MS = 20;
const NO_SERVER_RETRY_MS = 1000;
// A request on its way between regions (8 ms each way) uses no slot yet; twice
// the slots keep the servers busy meanwhile.
const IN_FLIGHT_PER_SLOT = 2;

export class PooledSelector implements ServerSelector {
  readonly retries = RetryBudget.create();
  private readonly services = new Map<string, ServiceHealth>();
  private readonly regions = new Map<string, string>();
  private readonly stalls = StallDetector.create();
  private readonly returns: ReadmissionPolicy;
  private stops: (() => void)[] = [];
  private periodStartMs = performance.now();
  private liveInstances = 1;
  private hasNewEvidence = false;
  private configured = false;

  private constructor(private readonly options: PooledSelectorOptions) {
    this.returns = ReadmissionPolicy.create(options);
    options.network.onMessage(EVIDENCE_KIND, (from, payload) =>
      this.receive(from, payload),
    );
    options.source.onChange(current => this.configure(current));
  }

  static create(options: PooledSelectorOptions): PooledSelector {
    return new PooledSelector(options);
  }

  start(): void {
    const pacer = this.options.pacer ?? TimerPacer.create();
    this.periodStartMs = performance.now();
    this.stalls.check();
    this.learnRegions();
    this.stops = [
      pacer.every(STALL_CHECK_MS, () => this.stalls.check()),
      pacer.every(PERIOD_MS, () => this.closePeriod()),
      pacer.every(EVALUATE_MS, () => this.evaluate()),
    ];
  }

  stop(): void {
    for (const stop of this.stops) stop();
    this.stops = [];
  }

  select(
    serviceName: string,
    options: SelectOptions,
  ): Result<Selection, NoServerError> {
    const health = this.services.get(serviceName);
    if (options.excluded.size === 0) this.retries.recordRequest(serviceName);
    const server = health?.pick(options.excluded);
    if (!health || !server) {
      return Err({kind: 'no-server', retryAfterMs: NO_SERVER_RETRY_MS});
    }
    const attempt = health.begin(server);
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
   * Requests that this instance may send now without waiting at the servers:
   * the slots that no instance uses, but at least its even share of all slots
   * less its own requests.
   */
  freeSlots(serviceName: string): number {
    const health = this.services.get(serviceName);
    const totalSlots = health?.rotation.capacitySlots() ?? 0;
    if (!health || totalSlots === 0) return 0;
    const here = health.outstandingHere();
    const unused = totalSlots - here - health.outstandingAtPeers();
    const share = Math.max(1, totalSlots / this.liveInstances);
    return Math.max(0, Math.floor(unused), Math.floor(share - here));
  }

  /**
   * Requests of the service that this instance may have in flight: the
   * slots not used by peers, but at least its even share.
   */
  inFlightLimit(serviceName: string): number {
    const health = this.services.get(serviceName);
    if (!health) return 1;
    const total = health.rotation.capacitySlots() * IN_FLIGHT_PER_SLOT;
    const left = total - health.outstandingAtPeers();
    return Math.max(1, Math.floor(left), Math.ceil(total / this.liveInstances));
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
      const before = this.services.get(service.name);
      const {maxInstances} = configuration;
      if (before?.matches(service, maxInstances)) continue;
      const health = ServiceHealth.create({
        service,
        known: before?.servers ?? new Map(),
        rampsNew: this.configured,
        maxInstances,
        selfId: network.self.instanceId,
        region: network.self.region,
        regionOfZone: zone => this.regions.get(zone) ?? zone,
        random,
        onTransition: transition => this.report(transition),
      });
      this.services.set(service.name, health);
    }
    this.configured = true;
  }

  private closePeriod(): void {
    const stalled = this.stalls.stalledSince(this.periodStartMs);
    this.periodStartMs = performance.now();
    this.learnRegions();
    const frame: EvidenceFrame = [];
    for (const [name, health] of this.services) {
      const entries = health
        .closePeriod(stalled)
        .map(encodeEntry)
        .filter(fields => fields.length > 1);
      if (entries.length > 0) frame.push([name, health.digest, entries]);
      this.returns.apply(health, this.liveInstances);
    }
    this.hasNewEvidence = true;
    this.options.network.broadcast(EVIDENCE_KIND, frame);
  }

  private receive(from: PeerIdentity, payload: unknown): void {
    const frame = evidenceFrameSchema.safeParse(payload);
    if (!frame.success) {
      this.options.metrics.count('health.bad_frames');
      return;
    }
    const told = new Map(frame.data.map(part => [part[0], part]));
    for (const [name, health] of this.services) {
      const [, digest, entries] = told.get(name) ?? [name, health.digest, []];
      if (digest !== health.digest) continue;
      health.receive(from.instanceId, from.region, entries.map(decodeEntry));
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

  private learnRegions(): void {
    const {membership} = this.options;
    this.liveInstances = membership.liveIds().length;
    const others = membership.others().map(member => member.identity);
    for (const {availabilityZone, region} of [membership.self, ...others]) {
      this.regions.set(availabilityZone, region);
    }
  }

  private report(transition: HealthTransition): void {
    const {logger, metrics, onTransition} = this.options;
    const {serviceName, to, reason} = transition;
    metrics.count('health.transitions', {service: serviceName, to, reason});
    logger.info('backend server changed phase', {...transition});
    onTransition?.(transition);
  }
}
