/**
 * A simulated fleet of gateways that keep the limits of backend servers with the
 * product's own choice of servers, grants and exchange. Callers, servers, zone
 * leaders and links are simulated on the runtime's clock, which tests advance.
 */
import {createLogger} from '@fireflytrack/telemetry';
import {KnownLimits} from '@fireflytrack/upstream';
import type {LimitGrants} from '@fireflytrack/upstream';
import {
  ServerChooser,
  ServerPicker,
  ServerRecord,
} from '@fireflytrack/upstream/selection';
import type {Choice} from '@fireflytrack/upstream/selection';
import {MemoryNetwork} from '@fireflytrack/wire';
import {ZoneLimitGrants} from '@fireflytrack/zone';
import type {Leader, LimitElection} from '@fireflytrack/zone';
import {catalogEntryOf, leaderRowOf} from './fleet-fixtures.js';
import {exponentialMs, seededRandom} from './health-random.js';
import type {Random} from './health-random.js';
import {LimitServer} from './limit-server.js';
import {LoneGrants} from './limit-naive.js';
import type {LimitPhase} from './limit-server.js';

export type LimitVariant =
  | 'granted'
  /** Naive: each instance uses the whole limit for itself. */
  | 'each-alone';

export interface LimitDemand {
  team: string;
  rank: number;
  requestsPerSecond: number;
}

export interface LimitFleetOptions {
  seed: number;
  variant: LimitVariant;
  zonesByRegion: Readonly<Record<string, readonly string[]>>;
  instancesPerZone: number;
  /** Phases of each server, which are spread over the zones. */
  servers: readonly (readonly LimitPhase[])[];
  demands: readonly LimitDemand[];
  /** Share of the responses that are rejections without a limit. */
  rejectedShare: number;
}

export interface LimitRequest {
  team: string;
  rank: number;
  sentAtMs: number;
  decidedAfterMs: number;
  served: boolean;
  /** Set for a request that was refused because of limits. */
  retryAfterMs: number | undefined;
}

export interface LimitInstance {
  readonly instanceId: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Undefined while the process is down. */
  process: LimitProcess | undefined;
  suspended: boolean;
  cutOff: boolean;
}

interface LimitProcess {
  limits: KnownLimits;
  grants: LimitGrants & {followLeader?(leader: Leader): void};
  chooser: ServerChooser;
  records: ServerRecord[];
  /** Whether it takes itself for the leader of its zone. */
  leads: boolean;
}

const SERVICE = 'orders';
const TARGET_LATENCY_MS = 1000;
const WORK_MS = 260;
const SAME_REGION_DELAY_MS = 1;
const OTHER_REGION_DELAY_MS = 8;
const CONNECTIONS_PER_SERVER = 100;
const DETECTION_MIN_MS = 300;
const DETECTION_SPREAD_MS = 700;
/** Connections to an instance that is suspended or cut off end after this. */
const SILENT_DETECTION_MS = 3000;
/** Leaders read their rows at this interval. */
const ROW_POLL_MS = 2000;

export class LimitFleet {
  readonly servers: LimitServer[];
  readonly instances: LimitInstance[] = [];
  readonly requests: LimitRequest[] = [];
  readonly network: MemoryNetwork;
  private readonly random: Random;
  private readonly regionByZone = new Map<string, string>();
  /** The leader of each zone by the shared table. */
  private readonly leaderRows = new Map<string, LimitInstance>();

  private constructor(private readonly options: LimitFleetOptions) {
    this.random = seededRandom(options.seed);
    this.network = MemoryNetwork.create({
      delayMs: (from, to) =>
        from.region === to.region
          ? SAME_REGION_DELAY_MS
          : OTHER_REGION_DELAY_MS,
    });
    const zones = Object.values(options.zonesByRegion).flat();
    const {rejectedShare} = options;
    this.servers = options.servers.map((phases, index) =>
      LimitServer.create(
        `s${index}`,
        zones[index % zones.length]!,
        phases,
        () => this.random() < rejectedShare,
      ),
    );
  }

  /** Starts all instances and their callers. */
  static create(options: LimitFleetOptions): LimitFleet {
    const fleet = new LimitFleet(options);
    for (const [region, zones] of Object.entries(options.zonesByRegion)) {
      for (const zone of zones) fleet.addZone(zone, region);
    }
    for (const instance of fleet.instances) fleet.startProcess(instance);
    for (const demand of options.demands) fleet.scheduleRequest(demand);
    return fleet;
  }

  leaderOf(zone: string): LimitInstance | undefined {
    return this.leaderRows.get(zone);
  }

  /** Ends the process; a new one, which knows nothing, starts after `downMs`. */
  restart(instance: LimitInstance, downMs: number): void {
    if (!instance.process) return;
    instance.process = undefined;
    this.network.leave(instance.instanceId);
    this.replaceLeader(instance, this.drawDetectionMs());
    setTimeout(() => this.startProcess(instance), downMs);
  }

  /** Suspends the process; what it receives meanwhile is handled afterwards. */
  suspend(instance: LimitInstance, forMs: number): void {
    instance.suspended = true;
    this.network.suspend(instance.instanceId);
    this.replaceLeader(instance, SILENT_DETECTION_MS);
    setTimeout(() => {
      instance.suspended = false;
      this.network.resume(instance.instanceId);
      this.readRowsLater(instance);
    }, forMs);
  }

  /** Cuts the instance off from all others; its servers stay reachable. */
  cutOff(instance: LimitInstance, forMs: number): void {
    instance.cutOff = true;
    const {instanceId} = instance;
    const others = this.instances.filter(other => other !== instance);
    for (const other of others) {
      this.network.cut(instanceId, other.instanceId);
      this.network.cut(other.instanceId, instanceId);
    }
    this.replaceLeader(instance, SILENT_DETECTION_MS);
    setTimeout(() => {
      instance.cutOff = false;
      for (const other of others) {
        this.network.heal(instanceId, other.instanceId);
        this.network.heal(other.instanceId, instanceId);
      }
      this.readRowsLater(instance);
    }, forMs);
  }

  private addZone(zone: string, region: string): void {
    this.regionByZone.set(zone, region);
    for (let index = 0; index < this.options.instancesPerZone; index += 1) {
      const instance: LimitInstance = {
        instanceId: `${zone}-i${index}`,
        availabilityZone: zone,
        region,
        process: undefined,
        suspended: false,
        cutOff: false,
      };
      this.instances.push(instance);
      if (index === 0) this.leaderRows.set(zone, instance);
    }
  }

  private startProcess(instance: LimitInstance): void {
    const {availabilityZone, region, instanceId} = instance;
    const logger = createLogger({level: 'error', silent: true});
    const limits = KnownLimits.create(logger);
    const grants =
      this.options.variant === 'each-alone'
        ? new LoneGrants()
        : ZoneLimitGrants.create({
            limits,
            instances: () => this.instances.length,
          });
    const picker = ServerPicker.create(
      {availabilityZone, region},
      zone => this.regionByZone.get(zone),
      this.random,
    );
    const process: LimitProcess = {
      limits,
      grants,
      chooser: ServerChooser.create({service: SERVICE, picker, limits, grants}),
      records: this.servers.map(server =>
        ServerRecord.create(
          catalogEntryOf(server, SERVICE),
          () => CONNECTIONS_PER_SERVER,
          this.random,
        ),
      ),
      leads: this.leaderRows.get(availabilityZone) === instance,
    };
    instance.process = process;
    const peers = this.network.join({instanceId, availabilityZone, region});
    if (!(grants instanceof ZoneLimitGrants)) return;
    grants.join({network: peers, election: this.electionOf(instance)});
    if (process.leads) grants.becomeLeader();
    else this.followLeader(instance);
  }

  private electionOf(instance: LimitInstance): LimitElection {
    const {availabilityZone} = instance;
    const findOwn = () => this.leaderRows.get(availabilityZone);
    const reachesLeader = (leader: LimitInstance) => this.isConnected(leader);
    const otherLeaders = () => [...this.leaderRows.values()];
    const isConnected = (leader: Leader) =>
      reachesLeader(this.findInstance(leader.instanceId));
    return {
      get isLeader(): boolean {
        return instance.process?.leads ?? false;
      },
      get reachableLeader(): Leader | undefined {
        const leader = findOwn();
        const isOther = leader && leader !== instance;
        return isOther && reachesLeader(leader)
          ? leaderRowOf(leader)
          : undefined;
      },
      get otherLeaders(): Leader[] {
        return otherLeaders()
          .filter(leader => leader.availabilityZone !== availabilityZone)
          .map(leaderRowOf);
      },
      connect: async leader => isConnected(leader),
    };
  }

  /** A silent instance keeps its connections, while a dead one loses them. */
  private isConnected(leader: LimitInstance): boolean {
    return leader.process !== undefined;
  }

  private findInstance(instanceId: string): LimitInstance {
    return this.instances.find(item => item.instanceId === instanceId)!;
  }

  /** Elects another leader if the instance is still gone after `detectedMs`. */
  private replaceLeader(instance: LimitInstance, detectedMs: number): void {
    const {availabilityZone} = instance;
    setTimeout(() => {
      if (this.leaderRows.get(availabilityZone) !== instance) return;
      const isBack =
        instance.process?.leads && !instance.suspended && !instance.cutOff;
      if (isBack) return;
      const candidates = this.instances.filter(
        other =>
          other.availabilityZone === availabilityZone &&
          other !== instance &&
          other.process &&
          !other.suspended &&
          !other.cutOff,
      );
      const successor =
        candidates[Math.floor(this.random() * candidates.length)];
      if (!successor) return;
      this.leaderRows.set(availabilityZone, successor);
      const {grants} = successor.process!;
      successor.process!.leads = true;
      if (grants instanceof ZoneLimitGrants) grants.becomeLeader();
      for (const member of candidates) {
        if (member !== successor) this.followLeader(member);
      }
    }, detectedMs);
  }

  /** A former leader notices at its next read of the row that it was replaced. */
  private readRowsLater(instance: LimitInstance): void {
    setTimeout(() => {
      const {process} = instance;
      if (!process) return;
      const leader = this.leaderRows.get(instance.availabilityZone);
      if (leader === instance) return;
      process.leads = false;
      this.followLeader(instance);
    }, this.random() * ROW_POLL_MS);
  }

  private followLeader(instance: LimitInstance): void {
    const leader = this.leaderRows.get(instance.availabilityZone);
    if (!leader || leader === instance) return;
    instance.process?.grants.followLeader?.(leaderRowOf(leader));
  }

  private drawDetectionMs(): number {
    return DETECTION_MIN_MS + this.random() * DETECTION_SPREAD_MS;
  }

  private scheduleRequest(demand: LimitDemand): void {
    setTimeout(
      () => {
        const index = Math.floor(this.random() * this.instances.length);
        void this.send(this.instances[index]!, demand);
        this.scheduleRequest(demand);
      },
      exponentialMs(this.random, demand.requestsPerSecond),
    );
  }

  private async send(
    instance: LimitInstance,
    {team, rank}: LimitDemand,
  ): Promise<void> {
    const {process} = instance;
    if (!process || instance.suspended) return;
    const sentAtMs = performance.now();
    const choice = await process.chooser.choose(
      process.records,
      {
        targetLatencyMs: TARGET_LATENCY_MS,
        baselineMs: WORK_MS,
        tried: new Set(),
        isRetry: false,
      },
      {team, rank},
    );
    const decidedAfterMs = performance.now() - sentAtMs;
    const served = choice.kind === 'server';
    const retryAfterMs =
      choice.kind === 'at-limit' ? choice.retryAfterMs : undefined;
    const request = {team, rank, sentAtMs, decidedAfterMs};
    this.requests.push({...request, served, retryAfterMs});
    if (served && instance.process === process) {
      this.sendTo(instance, process, choice);
    }
  }

  private sendTo(
    instance: LimitInstance,
    process: LimitProcess,
    {record}: Extract<Choice, {kind: 'server'}>,
  ): void {
    const server = this.servers.find(
      ({serverId}) => serverId === record.serverId,
    )!;
    const region = this.regionByZone.get(server.availabilityZone);
    const delayMs =
      region === instance.region ? SAME_REGION_DELAY_MS : OTHER_REGION_DELAY_MS;
    const sentAtMs = performance.now();
    record.inFlight += 1;
    setTimeout(() => server.receive(instance.instanceId), delayMs);
    const workMs = WORK_MS * (0.5 + this.random());
    setTimeout(() => {
      const {rejected, namedLimit} = server.respond();
      setTimeout(() => {
        record.inFlight -= 1;
        if (instance.process !== process || rejected) return;
        const {limits, grants} = process;
        const {run} = record;
        const changed = limits.applyResponse(
          run,
          namedLimit === undefined
            ? {kind: 'absent'}
            : {kind: 'named', requestsPerSecond: namedLimit},
          sentAtMs,
        );
        if (!changed) return;
        grants.announce(run, limits.find(run)?.requestsPerSecond);
      }, delayMs);
    }, delayMs + workMs);
  }
}
