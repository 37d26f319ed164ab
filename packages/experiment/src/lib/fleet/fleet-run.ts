/**
 * One run of a scenario with one variant of the fleet: open-loop arrivals go
 * through simulated instances, each with its own decision modules, to fake
 * backend servers.
 */
import type {Configuration} from '@fireflytrack/configuration';
import {FixedMembership} from '@fireflytrack/membership';
import {MemoryTable} from '@fireflytrack/platform';
import {MemoryNetwork} from '@fireflytrack/wire';
import type {PeerIdentity} from '@fireflytrack/wire';
import {build} from 'hdr-histogram-js';
import {seededRandom} from '../random.js';
import type {Random} from '../random.js';
import {Arrivals} from './arrivals.js';
import {INSTANCES, delayBetween, zoneForIndex} from './deployment.js';
import type {Deployment} from './deployment.js';
import {FakeBackend} from './fake-backend.js';
import {FixedConfiguration, buildConfiguration} from './fleet-configuration.js';
import {FleetInstance} from './fleet-instance.js';
import type {FleetVariant} from './fleet-variant.js';
import {PausedClock} from './paused-clock.js';
import {TeamMeasurements} from './team-measurements.js';
import type {TeamCounts} from './team-measurements.js';
import {DetectionRecorder} from './detection-recorder.js';

export interface FleetRunOptions {
  deployment: Deployment;
  variant: FleetVariant;
  seed: number;
  /** Called after each simulated second of the run. */
  onSecond?(elapsedSeconds: number): void;
}

export interface ScenarioScript {
  /** Duration after the warm-up. */
  durationMs: number;
  /** Starts or schedules the scenario's events; called after the warm-up. */
  start(run: FleetRun): void;
}

export interface RunResult {
  detectionTimesMs: number[];
  undetected: number;
  dispatchesAfterDetection: number;
  falseEjections: number;
  teams: ReadonlyMap<string, TeamCounts>;
  failedRequests: number;
  addedP99Ms: number;
  /** Number of delivered peer messages by kind, for the capacity page. */
  messages: ReadonlyMap<string, number>;
}

// Gives the instances time to distribute the rates before the first request.
// Without it, each instance would send borrow requests to all its peers, which
// own no share yet.
const SHARE_SETTLING_MS = 3000;
const WARM_UP_MS = 7000;
// Longer than the deadline of a request, so that every request completes.
const DRAIN_MS = 2100;
const MEAN_SERVICE_MS = 20;
const EJECTION_CHECK_INTERVAL_MS = 250;
const MICROSECONDS_PER_MS = 1000;
const TABLE_DELAY_MS = 3;

export class FleetRun {
  readonly backends = new Map<string, FakeBackend>();
  readonly instances: FleetInstance[] = [];
  readonly table = MemoryTable.create();
  readonly network: MemoryNetwork;
  readonly detectionRecorder = DetectionRecorder.create();
  readonly arrivals: Arrivals;
  readonly random: Random;
  readonly configuration: Configuration;
  private readonly source: FixedConfiguration;
  private readonly teamMeasurements: TeamMeasurements;
  private readonly addedLatencyUs = build({numberOfSignificantValueDigits: 3});
  private readonly serverDelayMs = new Map<string, number>();
  private failedRequests = 0;
  private createdInstanceCount = 0;

  private constructor(private readonly options: FleetRunOptions) {
    const {deployment, seed} = options;
    this.random = seededRandom(seed);
    this.configuration = buildConfiguration(deployment);
    this.source = FixedConfiguration.create(this.configuration);
    this.network = MemoryNetwork.create({
      delayMs: (from, to) => delayBetween(deployment, from, to),
    });
    this.table.delayMs = TABLE_DELAY_MS;
    this.teamMeasurements = TeamMeasurements.create(
      this.configuration.teams.values(),
    );
    this.arrivals = Arrivals.create(this.configuration, this.random);
    this.createBackends();
    for (let index = 0; index < INSTANCES; index += 1) this.addInstance(index);
  }

  /** Runs `script` on a paused clock and returns the measurements. */
  static async run(
    options: FleetRunOptions,
    script: ScenarioScript,
  ): Promise<RunResult> {
    const clock = PausedClock.install(options.seed);
    try {
      const run = new FleetRun(options);
      await clock.advance(SHARE_SETTLING_MS);
      await clock.advance(WARM_UP_MS - SHARE_SETTLING_MS, step =>
        run.onMillisecond(step),
      );
      run.teamMeasurements.startCounting();
      script.start(run);
      await clock.advance(script.durationMs, step => run.onMillisecond(step));
      const detection = run.detectionResults();
      await clock.advance(DRAIN_MS);
      return {...detection, ...run.requestResults()};
    } finally {
      clock.uninstall();
    }
  }

  /** Runs `action` after `delayMs` of simulated time. */
  schedule(delayMs: number, action: () => void): void {
    setTimeout(action, delayMs);
  }

  serversOf(serviceName: string): FakeBackend[] {
    return [...this.backends.values()].filter(
      backend => backend.serviceName === serviceName,
    );
  }

  /** Makes a server faulty and starts measuring when its traffic stops. */
  injectFault(backend: FakeBackend, change: Partial<FakeBackend>): void {
    backend.hasBeenFaulty = true;
    Object.assign(backend, change);
    this.detectionRecorder.recordFault(backend.server.serverId);
  }

  /** Replaces the instance at `index`: a planned stop and a new instance. */
  replaceInstance(index: number): void {
    const old = this.instances[index]!;
    const {instanceId} = old.identity;
    for (const other of this.instances) {
      const member = other.membership.members.get(instanceId);
      if (member) member.leaving = true;
    }
    this.addInstance(index);
    void old.modules.stop().then(() => this.removeInstance(instanceId));
  }

  private removeInstance(instanceId: string): void {
    this.network.leave(instanceId);
    for (const other of this.instances) {
      other.membership.members.delete(instanceId);
      other.membership.gone.add(instanceId);
    }
  }

  private addInstance(index: number): void {
    const {deployment, variant} = this.options;
    this.createdInstanceCount += 1;
    const zone = zoneForIndex(deployment, index);
    const instanceId = `${zone.availabilityZone}-i${this.createdInstanceCount}`;
    const identity: PeerIdentity = {instanceId, ...zone};
    const network = this.network.join(identity);
    const others = this.network.identities();
    const membership = FixedMembership.create(identity, others);
    const {source, table} = this;
    const probe = ({serverId}: {serverId: string}) =>
      this.backends.get(serverId)!.probe();
    const context = {source, network, membership, table, probe};
    const instance = FleetInstance.create(
      identity,
      membership,
      variant.createModules(context),
      this.createEnvironment(identity),
    );
    this.addToMemberships(identity);
    this.instances[index] = instance;
  }

  private addToMemberships(identity: PeerIdentity): void {
    for (const other of this.instances) {
      if (other.identity.instanceId === identity.instanceId) continue;
      other.membership.members.set(identity.instanceId, {
        identity,
        listed: true,
        reachable: true,
        leaving: false,
      });
    }
  }

  private createEnvironment(identity: PeerIdentity) {
    return {
      backends: this.backends,
      onDispatch: (serverId: string) =>
        this.detectionRecorder.recordDispatch(serverId),
      delayToMs: (serverId: string) => {
        const {availabilityZone} = this.backends.get(serverId)!.server;
        return this.delayToZoneMs(identity, availabilityZone);
      },
    };
  }

  private delayToZoneMs(
    identity: PeerIdentity,
    availabilityZone: string,
  ): number {
    const link = `${identity.availabilityZone}>${availabilityZone}`;
    let delayMs = this.serverDelayMs.get(link);
    if (delayMs === undefined) {
      const region = availabilityZone.slice(0, -'-1'.length);
      const to = {availabilityZone, region};
      delayMs = delayBetween(this.options.deployment, identity, to);
      this.serverDelayMs.set(link, delayMs);
    }
    return delayMs;
  }

  private createBackends(): void {
    for (const service of this.configuration.services.values()) {
      for (const server of service.servers) {
        const backend = FakeBackend.create(server, service.name, {
          slots: service.slotsPerServer,
          meanServiceMs: MEAN_SERVICE_MS,
          random: this.random,
        });
        this.backends.set(server.serverId, backend);
      }
    }
  }

  private onMillisecond(elapsedMs: number): void {
    for (const arrival of this.arrivals.sampleMillisecond()) {
      void this.handleArrival(
        arrival.teamName,
        arrival.service,
        arrival.instance,
      );
    }
    if (elapsedMs % EJECTION_CHECK_INTERVAL_MS === 0) this.checkEjections();
    if (elapsedMs % 1000 === 0) this.options.onSecond?.(elapsedMs / 1000);
  }

  private async handleArrival(
    teamName: string,
    serviceName: string,
    instanceIndex: number,
  ): Promise<void> {
    const startedAtMs = performance.now();
    const measurement = this.teamMeasurements.recordOffered(teamName);
    const instance = this.instances[instanceIndex]!;
    const pending = instance.admit(teamName);
    const admission = pending instanceof Promise ? await pending : pending;
    if (!admission.admitted) {
      measurement.recordRefused();
      return;
    }
    measurement.recordAdmitted();
    const result = await instance.serve(serviceName, startedAtMs);
    if (result.kind === 'served') {
      measurement.recordServed();
      if (!measurement.isCounted) return;
      const addedUs = Math.round(result.addedMs * MICROSECONDS_PER_MS);
      this.addedLatencyUs.recordValue(Math.max(0, addedUs));
    } else if (measurement.isCounted) {
      this.failedRequests += 1;
    }
  }

  private checkEjections(): void {
    const healthy = new Set<string>();
    for (const instance of this.instances) {
      for (const id of instance.modules.ejectedServerIds()) {
        if (!this.backends.get(id)!.hasBeenFaulty) healthy.add(id);
      }
    }
    this.detectionRecorder.recordHealthyEjections(healthy);
  }

  /**
   * Results that depend on ongoing traffic. They are taken before the drain
   * phase, in which no more requests arrive.
   */
  private detectionResults() {
    return {
      detectionTimesMs: this.detectionRecorder.detectionTimesMs(),
      undetected: this.detectionRecorder.undetectedCount(),
      dispatchesAfterDetection:
        this.detectionRecorder.dispatchesAfterDetection(),
      falseEjections: this.detectionRecorder.falseEjectionCount(),
    };
  }

  private requestResults() {
    return {
      teams: this.teamMeasurements.counts(),
      failedRequests: this.failedRequests,
      addedP99Ms:
        this.addedLatencyUs.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
      messages: new Map(this.network.deliveredByKind),
    };
  }
}
