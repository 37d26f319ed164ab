/**
 * A simulated fleet of gateways that choose servers of one service with the
 * product's own selection and failure exchange. Callers, servers and the links
 * between instances are simulated on the runtime's clock, which tests advance.
 */
import {
  ServerPicker,
  ServerRecord,
  ServiceState,
} from '@fireflytrack/upstream/selection';
import {createLogger} from '@fireflytrack/telemetry';
import {MemoryNetwork} from '@fireflytrack/wire';
import {FailureExchange} from '@fireflytrack/zone';
import type {FailureExchangeOptions, Leader} from '@fireflytrack/zone';
import {SimulatedServer} from './gateway-fleet-server.js';
import {catalogEntryOf, leaderRowOf} from './fleet-fixtures.js';
import {exponentialMs, seededRandom} from './health-random.js';
import type {Random} from './health-random.js';

export type GatewayVariant =
  | 'pooled'
  /** Naive: an instance never uses a server again once it learned of a failure. */
  | 'never-returns';

export interface GatewayFleetOptions {
  seed: number;
  variant: GatewayVariant;
  zonesByRegion: Readonly<Record<string, readonly string[]>>;
  instancesPerZone: number;
  serversPerZone: number;
  /** Requests of all callers to the service. */
  requestsPerSecond: number;
  floorShare: number;
  /** Whether the requests wait for trials of failing servers. */
  isOnce?: boolean;
}

/** One-time requests: each is sent once, and fails if its server fails it. */
export interface SimulatedRequest {
  sentAtMs: number;
  served: boolean;
}

export interface SimulatedInstance {
  readonly instanceId: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly picker: ServerPicker;
  /** Undefined while the process is down. */
  state: ServiceState | undefined;
}

const SERVICE = 'orders';
const WORK_MEAN_MS = 500;
const WORK_SPREAD = 0.6;
const IMMEDIATE_ERROR_MS = 3;
const TARGET_LATENCY_MS = 2000;
const SAME_REGION_DELAY_MS = 1;
const OTHER_REGION_DELAY_MS = 8;
const CONNECTIONS_PER_SERVER = 100;

export class GatewayFleet {
  readonly servers: SimulatedServer[] = [];
  readonly requests: SimulatedRequest[] = [];
  readonly instances: SimulatedInstance[] = [];
  /** Without leaders, no failure reaches another instance. */
  hasLeaders = true;
  private readonly random: Random;
  private readonly network: MemoryNetwork;
  private readonly regionByZone = new Map<string, string>();

  private constructor(private readonly options: GatewayFleetOptions) {
    this.random = seededRandom(options.seed);
    this.network = MemoryNetwork.create({
      delayMs: (from, to) =>
        from.region === to.region
          ? SAME_REGION_DELAY_MS
          : OTHER_REGION_DELAY_MS,
    });
  }

  /** Starts all instances and their callers. */
  static create(options: GatewayFleetOptions): GatewayFleet {
    const fleet = new GatewayFleet(options);
    for (const [region, zones] of Object.entries(options.zonesByRegion)) {
      for (const zone of zones) fleet.addZone(zone, region);
    }
    for (const instance of fleet.instances) {
      fleet.startInstance(instance);
      fleet.scheduleRequest(instance);
    }
    return fleet;
  }

  /** Replaces the process; the new one knows nothing about the servers. */
  restart(instance: SimulatedInstance, downMs: number): void {
    instance.state = undefined;
    this.network.leave(instance.instanceId);
    setTimeout(() => this.startInstance(instance), downMs);
  }

  private addZone(zone: string, region: string): void {
    const {serversPerZone, instancesPerZone} = this.options;
    this.regionByZone.set(zone, region);
    for (let index = 0; index < serversPerZone; index += 1) {
      const serverId = `${zone}-s${index}`;
      this.servers.push(SimulatedServer.create(serverId, zone, this.random));
    }
    for (let index = 0; index < instancesPerZone; index += 1) {
      this.instances.push({
        instanceId: `${zone}-i${index}`,
        availabilityZone: zone,
        region,
        picker: ServerPicker.create(
          {availabilityZone: zone, region},
          name => this.regionByZone.get(name),
          this.random,
        ),
        state: undefined,
      });
    }
  }

  private startInstance(instance: SimulatedInstance): void {
    const {availabilityZone, region, instanceId, picker} = instance;
    const exchange = FailureExchange.create({
      network: this.network.join({instanceId, availabilityZone, region}),
      election: this.electionOf(instance),
      onFailure: ({serverId}) => {
        state.recordReportedFailure(serverId);
        this.afterFailure(state, serverId);
      },
    });
    const state = ServiceState.create({
      name: SERVICE,
      countedInstances: () => this.instances.length,
      budget: {recordRequest: () => {}, takeRetry: async () => false},
      floorShare: this.options.floorShare,
      distanceOf: record => picker.distancePenalty(record),
      onFailure: (serverId, failedTrial) =>
        exchange.report({serverId, service: SERVICE, failedTrial}),
      logger: createLogger({level: 'error', silent: true}),
    });
    for (const server of this.servers) {
      state.add(
        ServerRecord.create(
          catalogEntryOf(server, SERVICE),
          () => CONNECTIONS_PER_SERVER,
          this.random,
        ),
      );
    }
    instance.state = state;
  }

  /** The first running instance of a zone leads it. */
  private leaderOf(zone: string): SimulatedInstance | undefined {
    if (!this.hasLeaders) return undefined;
    return this.instances.find(
      ({availabilityZone, state}) => availabilityZone === zone && state,
    );
  }

  private electionOf(
    instance: SimulatedInstance,
  ): FailureExchangeOptions['election'] {
    const {availabilityZone} = instance;
    const ownLeader = () => this.leaderOf(availabilityZone);
    const others = [...this.regionByZone.keys()].filter(
      zone => zone !== availabilityZone,
    );
    const otherLeaders = () =>
      others.flatMap(zone => this.leaderOf(zone) ?? []);
    return {
      get isLeader(): boolean {
        return ownLeader() === instance;
      },
      get reachableLeader(): Leader | undefined {
        const leader = ownLeader();
        return leader && leader !== instance ? leaderRowOf(leader) : undefined;
      },
      get otherLeaders(): Leader[] {
        return otherLeaders().map(leaderRowOf);
      },
      connect: async () => true,
    };
  }

  private scheduleRequest(instance: SimulatedInstance): void {
    const {requestsPerSecond} = this.options;
    const ratePerSecond = requestsPerSecond / this.instances.length;
    setTimeout(
      () => {
        if (instance.state) this.send(instance.picker, instance.state);
        this.scheduleRequest(instance);
      },
      exponentialMs(this.random, ratePerSecond),
    );
  }

  private send(picker: ServerPicker, state: ServiceState): void {
    const sentAtMs = performance.now();
    const record = picker.pick(state.records, {
      targetLatencyMs: TARGET_LATENCY_MS,
      baselineMs: state.baselineMs(TARGET_LATENCY_MS),
      tried: new Set(),
      withheld: this.options.isOnce ? state.findWithheld() : new Set(),
      isRetry: false,
    });
    const server = this.servers.find(
      ({serverId}) => serverId === record?.serverId,
    );
    if (!record || !server) {
      this.requests.push({sentAtMs, served: false});
      return;
    }
    record.inFlight += 1;
    const served = server.receive();
    const tookMs = served ? this.drawWorkMs() : IMMEDIATE_ERROR_MS;
    setTimeout(() => {
      record.inFlight -= 1;
      this.requests.push({sentAtMs, served});
      if (served) {
        state.recordResponse(record, SERVICE, tookMs, TARGET_LATENCY_MS);
        record.recordSuccess();
        return;
      }
      const kind = state.classifyError(tookMs, TARGET_LATENCY_MS);
      state.recordFailure(record, kind, 'server answered 500');
      this.afterFailure(state, record.serverId);
    }, tookMs);
  }

  private afterFailure(state: ServiceState, failedId: string): void {
    if (this.options.variant !== 'never-returns') return;
    const record = state.records.find(({serverId}) => serverId === failedId);
    if (record) state.remove(record);
  }

  private drawWorkMs(): number {
    const normal =
      Math.sqrt(-2 * Math.log(1 - this.random())) *
      Math.cos(2 * Math.PI * this.random());
    const medianMs = WORK_MEAN_MS * Math.exp(-(WORK_SPREAD ** 2) / 2);
    return medianMs * Math.exp(WORK_SPREAD * normal);
  }
}
