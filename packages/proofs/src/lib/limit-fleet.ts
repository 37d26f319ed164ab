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
import {catalogEntryOf} from './fleet-fixtures.js';
import {exponentialMs, seededRandom} from './health-random.js';
import type {Random} from './health-random.js';
import {LimitServer} from './limit-server.js';
import {LoneGrants} from './limit-naive.js';
import type {LimitPhase} from './limit-server.js';
import {ZoneFleet} from './zone-fleet.js';
import type {ZoneInstance, ZoneProcess} from './zone-fleet.js';

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

export type LimitInstance = ZoneInstance<LimitProcess>;

interface LimitProcess extends ZoneProcess {
  limits: KnownLimits;
  grants: LimitGrants;
  chooser: ServerChooser;
  records: ServerRecord[];
}

const SERVICE = 'orders';
const TARGET_LATENCY_MS = 1000;
const WORK_MS = 260;
const SAME_REGION_DELAY_MS = 1;
const OTHER_REGION_DELAY_MS = 8;
const CONNECTIONS_PER_SERVER = 100;

export class LimitFleet {
  readonly servers: LimitServer[];
  readonly zones: ZoneFleet<LimitProcess>;
  readonly requests: LimitRequest[] = [];
  readonly network: MemoryNetwork;
  private readonly random: Random;

  private constructor(private readonly options: LimitFleetOptions) {
    this.random = seededRandom(options.seed);
    this.network = MemoryNetwork.create({
      delayMs: (from, to) =>
        from.region === to.region
          ? SAME_REGION_DELAY_MS
          : OTHER_REGION_DELAY_MS,
    });
    const zones = Object.values(options.zonesByRegion).flat();
    this.zones = ZoneFleet.create<LimitProcess>({
      zonesByRegion: options.zonesByRegion,
      instancesPerZone: options.instancesPerZone,
      network: this.network,
      random: this.random,
      startProcess: instance => this.createProcess(instance),
      onJoined: ({process}, network, election) => {
        const grants = process?.grants;
        if (grants instanceof ZoneLimitGrants) grants.join({network, election});
      },
    });
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
    fleet.zones.start();
    for (const demand of options.demands) fleet.scheduleRequest(demand);
    return fleet;
  }

  private createProcess(instance: LimitInstance): LimitProcess {
    const {availabilityZone, region} = instance;
    const logger = createLogger({level: 'error', silent: true});
    const limits = KnownLimits.create(logger);
    const grants =
      this.options.variant === 'each-alone'
        ? new LoneGrants()
        : ZoneLimitGrants.create({
            limits,
            instances: () => this.zones.instances.length,
          });
    const picker = ServerPicker.create(
      {availabilityZone, region},
      zone => this.zones.regionByZone.get(zone),
      this.random,
    );
    const follower = grants instanceof ZoneLimitGrants ? grants : undefined;
    return {
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
      becomeLeader: () => follower?.becomeLeader(),
      followLeader: leader => follower?.followLeader(leader),
    };
  }

  private scheduleRequest(demand: LimitDemand): void {
    setTimeout(
      () => {
        const {instances} = this.zones;
        const index = Math.floor(this.random() * instances.length);
        void this.send(instances[index]!, demand);
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
        withheld: new Set(),
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
    const region = this.zones.regionByZone.get(server.availabilityZone);
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
