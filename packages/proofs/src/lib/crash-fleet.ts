/**
 * A simulated fleet of gateways with the product's own decisions and exchange
 * about requests that crash backend servers. Callers, servers, zone leaders and
 * links are simulated on the runtime's clock, which tests advance.
 */
import {createLogger} from '@fireflytrack/telemetry';
import {CrashSuspects} from '@fireflytrack/upstream';
import {CrashGuard} from '@fireflytrack/upstream/selection';
import {MemoryNetwork} from '@fireflytrack/wire';
import {CrashExchange} from '@fireflytrack/zone';
import {exponentialMs, seededRandom} from './health-random.js';
import type {Random} from './health-random.js';
import {CrashServer} from './crash-server.js';
import {UnclearedSuspects} from './crash-naive.js';
import {ZoneFleet} from './zone-fleet.js';
import type {ZoneInstance, ZoneProcess} from './zone-fleet.js';

export type CrashVariant =
  | 'exchanged'
  /** Naive: each instance counts only the crashes that it saw. */
  | 'each-alone'
  /** Naive: a response does not clear a request. */
  | 'no-clearance';

/** A request that comes again and again at any instance. */
export interface CrashDemand {
  target: string;
  requestsPerSecond: number;
  /** Whether it ends the servers that run it. */
  crashes: boolean;
  fromMs: number;
}

export interface CrashFleetOptions {
  seed: number;
  variant: CrashVariant;
  zonesByRegion: Readonly<Record<string, readonly string[]>>;
  instancesPerZone: number;
  serverCount: number;
  demands: readonly CrashDemand[];
  holdMs: number;
}

export type CrashInstance = ZoneInstance<CrashProcess>;

interface CrashProcess extends ZoneProcess {
  suspects: CrashSuspects;
  exchange: CrashExchange | undefined;
}

/** An arrival of a request at a server. */
export interface CrashArrival {
  target: string;
  atMs: number;
  /** Time since the end of the last fault of the sending instance. */
  calmForMs: number;
}

export interface CrashRequest {
  target: string;
  atMs: number;
  /**
   * `refused` stands for a request that is held back, `unreached` for one whose
   * servers were all down, `failed` for one that may have run.
   */
  result: 'served' | 'refused' | 'unreached' | 'failed';
}

const ROUTE = 'reads';
const SERVICE = 'orders';
const HOLD_AFTER = 3;
const MAX_ATTEMPTS = 2;
// Connections that are refused; after these the request ends as not run.
const MAX_UNSENT = 4;
const DEADLINE_MS = 2000;
const SAME_REGION_DELAY_MS = 1;
const OTHER_REGION_DELAY_MS = 8;

export class CrashFleet {
  readonly servers: CrashServer[];
  readonly zones: ZoneFleet<CrashProcess>;
  readonly arrivals: CrashArrival[] = [];
  readonly requests: CrashRequest[] = [];
  /** Times at which a server went down under a request that crashes servers. */
  readonly crashesAtMs = new Map<string, number[]>();
  readonly network: MemoryNetwork;
  private readonly random: Random;
  private nextId = 0;

  private constructor(private readonly options: CrashFleetOptions) {
    this.random = seededRandom(options.seed);
    this.network = MemoryNetwork.create({
      delayMs: (from, to) =>
        from.region === to.region
          ? SAME_REGION_DELAY_MS
          : OTHER_REGION_DELAY_MS,
    });
    this.zones = ZoneFleet.create<CrashProcess>({
      zonesByRegion: options.zonesByRegion,
      instancesPerZone: options.instancesPerZone,
      network: this.network,
      random: this.random,
      readsRows: true,
      startProcess: () => this.createProcess(),
      onJoined: ({process}, network, election) =>
        process?.exchange?.join({network, election}),
    });
    this.servers = Array.from({length: options.serverCount}, (_, index) =>
      CrashServer.create(`s${index}`, this.random),
    );
  }

  /** Starts all instances and their callers. */
  static create(options: CrashFleetOptions): CrashFleet {
    const fleet = new CrashFleet(options);
    fleet.zones.start();
    for (const demand of options.demands) {
      setTimeout(() => fleet.scheduleRequest(demand), demand.fromMs);
    }
    return fleet;
  }

  /** Ends a share of the servers at once, with all requests that they run. */
  crashServers(share: number): void {
    for (const server of this.servers) {
      if (this.random() < share) server.crash();
    }
  }

  private createProcess(): CrashProcess {
    const {holdMs, variant} = this.options;
    const logger = createLogger({level: 'error', silent: true});
    const suspectsOptions = {holdAfter: HOLD_AFTER, holdMs, logger};
    const suspects =
      variant === 'no-clearance'
        ? UnclearedSuspects.create(suspectsOptions)
        : CrashSuspects.create(suspectsOptions);
    const exchange =
      variant === 'each-alone' ? undefined : CrashExchange.create(suspects);
    return {
      suspects,
      exchange,
      becomeLeader: () => exchange?.becomeLeader(),
      followLeader: leader => exchange?.followLeader(leader),
    };
  }

  private scheduleRequest(demand: CrashDemand): void {
    const {instances} = this.zones;
    const index = Math.floor(this.random() * instances.length);
    void this.send(instances[index]!, demand);
    setTimeout(
      () => this.scheduleRequest(demand),
      exponentialMs(this.random, demand.requestsPerSecond),
    );
  }

  private async send(
    instance: CrashInstance,
    demand: CrashDemand,
  ): Promise<void> {
    const {process} = instance;
    if (!process || instance.suspended) return;
    const atMs = performance.now();
    const guard = this.createGuard(process, demand);
    if (guard.isHeld) await guard.admit(true, atMs + DEADLINE_MS);
    const result = await this.run(instance, demand, guard);
    this.requests.push({target: demand.target, atMs, result});
  }

  private createGuard(
    process: CrashProcess,
    {target}: CrashDemand,
  ): CrashGuard {
    this.nextId += 1;
    const request = {
      requestId: `r${this.nextId}`,
      method: 'GET',
      target,
      headers: ['host', 'shop.example'],
      body: {kind: 'none' as const},
    };
    return CrashGuard.create(
      {route: ROUTE, service: SERVICE, team: 'north', request},
      {
        suspects: process.suspects,
        check: {isDown: async ({host}) => !this.findServer(host).isUp},
        requestTrial: async digest =>
          (await process.exchange?.requestTrial(digest)) ?? false,
        onHeldBack: () => {},
        logger: createLogger({level: 'error', silent: true}),
      },
    );
  }

  /** Makes the attempts of a request as the product does. */
  private async run(
    instance: CrashInstance,
    demand: CrashDemand,
    guard: CrashGuard,
  ): Promise<CrashRequest['result']> {
    let sent = 0;
    for (let unsent = 0; sent < MAX_ATTEMPTS && unsent < MAX_UNSENT; ) {
      if (guard.refuseAttempt()) return sent === 0 ? 'refused' : 'failed';
      const server = this.pickServer();
      const {serverId, startedAtMs} = server;
      if (!server.isUp) {
        unsent += 1;
        continue;
      }
      sent += 1;
      const sentAtMs = performance.now();
      if ((await this.attempt(instance, demand, server)) === 'answered') {
        guard.recordSuccess();
        return 'served';
      }
      await guard.recordLoss({
        run: {serverId, startedAtMs},
        address: {host: serverId, port: 1},
        wasListed: true,
        startedAtMs: sentAtMs,
      });
      await guard.waitForRetry(sentAtMs + DEADLINE_MS);
      if (!guard.allowsRetry) return 'failed';
    }
    return sent === 0 ? 'unreached' : 'failed';
  }

  private attempt(
    instance: CrashInstance,
    {target, crashes}: CrashDemand,
    server: CrashServer,
  ): Promise<'answered' | 'lost'> {
    const atMs = performance.now();
    const calmForMs = atMs - instance.disturbedUntilMs;
    this.arrivals.push({target, atMs, calmForMs});
    return server.run(crashes, () => {
      const times = this.crashesAtMs.get(target) ?? [];
      this.crashesAtMs.set(target, [...times, performance.now()]);
    });
  }

  private pickServer(): CrashServer {
    const index = Math.floor(this.random() * this.servers.length);
    return this.servers[index]!;
  }

  private findServer(serverId: string): CrashServer {
    return this.servers.find(server => server.serverId === serverId)!;
  }
}
