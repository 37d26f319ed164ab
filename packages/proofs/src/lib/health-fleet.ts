/**
 * A simulated fleet of selectors in front of fake backend servers.
 *
 * All randomness derives from one seed. Faults can be set at any moment. The
 * history records requests, responses, faults, phase transitions and rotations.
 */
import type {BackendServer, Service} from '@fireflytrack/configuration';
import {FixedMembership} from '@fireflytrack/membership';
import {MemoryNetwork} from '@fireflytrack/wire';
import type {PeerIdentity} from '@fireflytrack/wire';
import {runWithSimulatedClock} from './health-clock.js';
import type {FleetClock} from './health-clock.js';
import {FakeInstance} from './health-fake-instance.js';
import type {SelectorVariant} from './health-fake-instance.js';
import {FakeServer} from './health-fake-server.js';
import type {FakeServerFaults} from './health-fake-server.js';
import {exponentialMs, seededRandom} from './health-random.js';
import type {Random} from './health-random.js';
import {MutableServiceSource} from './health-source.js';
import {History} from './history.js';

export interface HealthFleetOptions {
  seed: number;
  variant: SelectorVariant;
  instances: number;
  servers: number;
  regions: readonly string[];
  slotsPerServer: number;
  serviceTimeMs: number;
  /** Requests per second to the service from the whole fleet. */
  ratePerSecond: number;
  deadlineMs: number;
  capacityFloor: number;
  /** One-way delay within a region. */
  sameRegionDelayMs: number;
  /** One-way delay between regions. */
  crossRegionDelayMs: number;
  /** Fraction of requests that fail because of the caller. */
  callerErrorShare: number;
}

/** The Tunisia deployment with a single service (section 1.3 of the design). */
export const TUNISIA_FLEET: Readonly<Omit<HealthFleetOptions, 'seed'>> = {
  variant: 'pooled',
  instances: 40,
  servers: 12,
  regions: ['nord', 'sahel', 'sud'],
  slotsPerServer: 4,
  serviceTimeMs: 20,
  ratePerSecond: 500,
  deadlineMs: 1000,
  capacityFloor: 0.6,
  sameRegionDelayMs: 1,
  crossRegionDelayMs: 8,
  callerErrorShare: 0,
};

export const SERVICE_NAME = 'counting';
const ROTATION_RECORD_MS = 200;

export class HealthFleet {
  readonly history = History.create();
  readonly servers = new Map<string, FakeServer>();
  readonly instances: FakeInstance[] = [];
  readonly random: Random;
  /** Extra one-way delay by `from>to` region, for requests and peer messages. */
  readonly extraDelayMsByLink = new Map<string, number>();
  readonly peerNetwork: MemoryNetwork;
  private readonly blockedPaths = new Set<string>();
  private readonly source: MutableServiceSource;
  private running = true;

  private constructor(
    readonly options: HealthFleetOptions,
    private readonly clock: FleetClock,
  ) {
    this.random = seededRandom(options.seed);
    this.peerNetwork = MemoryNetwork.create({
      delayMs: (from, to) => this.regionDelayMs(from.region, to.region),
    });
    for (let index = 0; index < options.servers; index += 1)
      this.addFakeServer();
    this.source = MutableServiceSource.create(
      this.buildService(),
      options.instances,
    );
    this.createInstances();
  }

  /** Runs `body` on a started fleet under load and stops the fleet afterwards. */
  static async run(
    options: HealthFleetOptions,
    body: (fleet: HealthFleet) => Promise<void>,
  ): Promise<void> {
    const random = seededRandom(options.seed ^ 0x5eed);
    await runWithSimulatedClock(random, async clock => {
      const fleet = new HealthFleet(options, clock);
      fleet.start();
      try {
        await body(fleet);
      } finally {
        fleet.running = false;
        for (const instance of fleet.instances) instance.stop();
      }
    });
  }

  advance(durationMs: number): Promise<void> {
    return this.clock.advance(durationMs);
  }

  serverIds(): string[] {
    return [...this.servers.keys()];
  }

  /** Changes the given faults of one server and records all of its faults. */
  setFaults(serverId: string, faults: Partial<FakeServerFaults>): void {
    const server = this.servers.get(serverId);
    if (!server) return;
    Object.assign(server.faults, faults);
    const {draining} = server.faults;
    this.history.record(serverId, 'faults', serverId, {...server.faults});
    this.history.record(serverId, 'draining', serverId, draining);
  }

  /** Blocks or restores the network path from an instance to a server. */
  setPathBlocked(
    instanceId: string,
    serverId: string,
    isBlocked: boolean,
  ): void {
    const path = `${instanceId}>${serverId}`;
    if (isBlocked) this.blockedPaths.add(path);
    else this.blockedPaths.delete(path);
  }

  /** Sets the extra one-way delay between two regions, in both directions. */
  setLinkDelay(from: string, to: string, extraMs: number): void {
    this.extraDelayMsByLink.set(`${from}>${to}`, extraMs);
    this.extraDelayMsByLink.set(`${to}>${from}`, extraMs);
  }

  /** Adds a server through a new configuration; it is cold for `coldMs`. */
  addServer(coldMs: number): FakeServer {
    const server = this.addFakeServer();
    server.beginColdStart(coldMs);
    this.source.setService(this.buildService());
    return server;
  }

  private start(): void {
    for (const instance of this.instances) instance.start();
    this.scheduleRequest();
    this.scheduleRotationRecord();
  }

  private scheduleRequest(): void {
    const waitMs = exponentialMs(this.random, this.options.ratePerSecond);
    setTimeout(() => {
      if (!this.running) return;
      const index = Math.floor(this.random() * this.instances.length);
      const callerError = this.random() < this.options.callerErrorShare;
      this.instances[index]?.send(callerError);
      this.scheduleRequest();
    }, waitMs);
  }

  private scheduleRotationRecord(): void {
    setTimeout(() => {
      if (!this.running) return;
      for (const instance of this.instances) {
        const {instanceId} = instance;
        const snapshot = instance.takeRotationSnapshot();
        this.history.record(instanceId, 'rotation', SERVICE_NAME, snapshot);
      }
      this.scheduleRotationRecord();
    }, ROTATION_RECORD_MS);
  }

  private addFakeServer(): FakeServer {
    const {regions, slotsPerServer, serviceTimeMs} = this.options;
    const index = this.servers.size;
    const region = regions[index % regions.length]!;
    const server = FakeServer.create({
      serverId: `10.0.1.${index + 1}:80`,
      availabilityZone: toZoneName(region, Math.floor(index / regions.length)),
      region,
      slots: slotsPerServer,
      serviceTimeMs,
      random: this.random,
    });
    this.servers.set(server.serverId, server);
    return server;
  }

  private buildService(): Service {
    const {variant, slotsPerServer, capacityFloor} = this.options;
    const servers = [...this.servers.values()].map(toBackendServer);
    return {
      name: SERVICE_NAME,
      servers,
      dependsOn: [],
      slotsPerServer,
      connectionsPerServer: 360,
      capacityFloor: variant === 'without-floor' ? 0 : capacityFloor,
    };
  }

  private createInstances(): void {
    const {regions, instances: count, variant, deadlineMs} = this.options;
    const identities = Array.from({length: count}, (_, index) =>
      createIdentity(regions, index),
    );
    for (const identity of identities) {
      const instance = FakeInstance.create({
        variant,
        network: this.peerNetwork.join(identity),
        membership: FixedMembership.create(identity, identities),
        source: this.source,
        serviceName: SERVICE_NAME,
        history: this.history,
        random: this.random,
        deadlineMs,
        servers: this.servers,
        pathDelayMs: (from, server) => this.pathDelayMs(from, server),
      });
      this.instances.push(instance);
    }
  }

  private pathDelayMs(from: PeerIdentity, server: FakeServer): number {
    const isBlocked = this.blockedPaths.has(
      `${from.instanceId}>${server.serverId}`,
    );
    return isBlocked
      ? Infinity
      : this.regionDelayMs(from.region, server.options.region);
  }

  private regionDelayMs(from: string, to: string): number {
    const {sameRegionDelayMs, crossRegionDelayMs} = this.options;
    const extraMs = this.extraDelayMsByLink.get(`${from}>${to}`) ?? 0;
    return (from === to ? sameRegionDelayMs : crossRegionDelayMs) + extraMs;
  }
}

function toZoneName(region: string, index: number): string {
  return `${region}-${(index % 2) + 1}`;
}

function createIdentity(
  regions: readonly string[],
  index: number,
): PeerIdentity {
  const region = regions[index % regions.length]!;
  const availabilityZone = toZoneName(
    region,
    Math.floor(index / regions.length),
  );
  return {instanceId: `instance-${index + 1}`, availabilityZone, region};
}

function toBackendServer({options}: FakeServer): BackendServer {
  const {serverId, availabilityZone} = options;
  const [host = '', port] = serverId.split(':');
  return {serverId, host, port: Number(port), availabilityZone};
}
