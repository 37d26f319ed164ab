/**
 * A fleet of selectors over small fake backend servers, in simulated time.
 *
 * Everything random comes from one seed. Faults can be set at any moment; the
 * history holds what was sent where, every change of phase and the rotations.
 */
import type {BackendServer, Service} from '@fireflytrack/configuration';
import {FixedMembership} from '@fireflytrack/membership';
import {MemoryNetwork} from '@fireflytrack/wire';
import type {PeerIdentity} from '@fireflytrack/wire';
import {withSimulatedClock} from './health-clock.js';
import type {SimulatedClock} from './health-clock.js';
import {FakeInstance} from './health-fake-instance.js';
import type {SelectorVariant} from './health-fake-instance.js';
import {FakeServer} from './health-fake-server.js';
import type {FakeServerFaults} from './health-fake-server.js';
import {exponentialMs, seededRandom} from './health-random.js';
import type {Random} from './health-random.js';
import {FixedSource} from './health-source.js';
import {History} from './history.js';

export interface HealthFleetOptions {
  seed: number;
  variant: SelectorVariant;
  instances: number;
  servers: number;
  regions: readonly string[];
  slotsPerServer: number;
  serviceTimeMs: number;
  /** Requests to the service over the whole fleet. */
  ratePerSecond: number;
  deadlineMs: number;
  capacityFloor: number;
  /** One-way delay within a region and between regions. */
  nearDelayMs: number;
  farDelayMs: number;
  /** Fraction of requests that are the caller's fault. */
  callerErrorShare: number;
}

/** The Tunisia deployment with one service (section 1.3 of the design). */
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
  nearDelayMs: 1,
  farDelayMs: 8,
  callerErrorShare: 0,
};

export const SERVICE_NAME = 'counting';
const ROTATION_RECORD_MS = 200;

export class HealthFleet {
  readonly history = History.create();
  readonly servers = new Map<string, FakeServer>();
  readonly instances: FakeInstance[] = [];
  readonly random: Random;
  /** Extra one-way delay by `region>region`; both traffic and frames. */
  readonly extraDelayMs = new Map<string, number>();
  readonly messages: MemoryNetwork;
  private readonly cutPaths = new Set<string>();
  private readonly source: FixedSource;
  private running = true;

  private constructor(
    readonly options: HealthFleetOptions,
    private readonly clock: SimulatedClock,
  ) {
    this.random = seededRandom(options.seed);
    this.messages = MemoryNetwork.create({
      delayMs: (from, to) => this.delayMs(from.region, to.region),
    });
    for (let index = 0; index < options.servers; index += 1) this.addFake();
    this.source = FixedSource.create(this.service(), options.instances);
    this.createInstances();
  }

  /** Runs `body` with a started fleet under load. */
  static async run(
    options: HealthFleetOptions,
    body: (fleet: HealthFleet) => Promise<void>,
  ): Promise<void> {
    const random = seededRandom(options.seed ^ 0x5eed);
    await withSimulatedClock(random, async clock => {
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

  /** Changes faults of one server; the history holds the new ones. */
  setFaults(serverId: string, faults: Partial<FakeServerFaults>): void {
    const server = this.servers.get(serverId);
    if (!server) return;
    Object.assign(server.faults, faults);
    const {draining} = server.faults;
    this.history.record(serverId, 'faults', serverId, {...server.faults});
    this.history.record(serverId, 'draining', serverId, draining);
  }

  /** Cuts or heals the way between an instance and a server. */
  setPathCut(instanceId: string, serverId: string, isCut: boolean): void {
    const path = `${instanceId}>${serverId}`;
    if (isCut) this.cutPaths.add(path);
    else this.cutPaths.delete(path);
  }

  /** Slows the link between two regions, for requests and frames. */
  setLinkDelay(from: string, to: string, extraMs: number): void {
    this.extraDelayMs.set(`${from}>${to}`, extraMs);
    this.extraDelayMs.set(`${to}>${from}`, extraMs);
  }

  /** Adds a cold server by a new configuration. */
  addServer(coldMs: number): FakeServer {
    const server = this.addFake();
    server.beginColdStart(coldMs);
    this.source.apply(this.service());
    return server;
  }

  private start(): void {
    for (const instance of this.instances) instance.start();
    this.scheduleRequest();
    this.scheduleRecord();
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

  private scheduleRecord(): void {
    setTimeout(() => {
      if (!this.running) return;
      for (const instance of this.instances) {
        const {instanceId} = instance;
        const snapshot = instance.rotation();
        this.history.record(instanceId, 'rotation', SERVICE_NAME, snapshot);
      }
      this.scheduleRecord();
    }, ROTATION_RECORD_MS);
  }

  private addFake(): FakeServer {
    const {regions, slotsPerServer, serviceTimeMs} = this.options;
    const index = this.servers.size;
    const region = regions[index % regions.length]!;
    const server = FakeServer.create({
      serverId: `10.0.1.${index + 1}:80`,
      availabilityZone: zoneOf(region, Math.floor(index / regions.length)),
      region,
      slots: slotsPerServer,
      serviceTimeMs,
      random: this.random,
    });
    this.servers.set(server.serverId, server);
    return server;
  }

  private service(): Service {
    const {variant, slotsPerServer, capacityFloor} = this.options;
    const servers = [...this.servers.values()].map(describeServer);
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
      identityOf(regions, index),
    );
    for (const identity of identities) {
      const instance = FakeInstance.create({
        variant,
        network: this.messages.join(identity),
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
    const isCut = this.cutPaths.has(`${from.instanceId}>${server.serverId}`);
    return isCut ? Infinity : this.delayMs(from.region, server.options.region);
  }

  private delayMs(from: string, to: string): number {
    const {nearDelayMs, farDelayMs} = this.options;
    const extraMs = this.extraDelayMs.get(`${from}>${to}`) ?? 0;
    return (from === to ? nearDelayMs : farDelayMs) + extraMs;
  }
}

function zoneOf(region: string, index: number): string {
  return `${region}-${(index % 2) + 1}`;
}

function identityOf(regions: readonly string[], index: number): PeerIdentity {
  const region = regions[index % regions.length]!;
  const availabilityZone = zoneOf(region, Math.floor(index / regions.length));
  return {instanceId: `instance-${index + 1}`, availabilityZone, region};
}

function describeServer({options}: FakeServer): BackendServer {
  const {serverId, availabilityZone} = options;
  const [host = '', port] = serverId.split(':');
  return {serverId, host, port: Number(port), availabilityZone};
}
