/**
 * Instances of a simulated fleet in availability zones, with the leaders of the
 * zones and the faults of instances: restarts, suspensions and cut links. What
 * an instance runs is given by the caller. Time is the runtime's clock, which
 * tests advance.
 */
import type {MemoryNetwork, PeerNetwork} from '@fireflytrack/wire';
import type {Leader, LimitElection} from '@fireflytrack/zone';
import {leaderRowOf} from './fleet-fixtures.js';
import type {Random} from './health-random.js';

/** What one run of an instance's process does as part of its zone. */
export interface ZoneProcess {
  becomeLeader(): void;
  followLeader(leader: Leader): void;
}

export interface ZoneInstance<Process extends ZoneProcess> {
  readonly instanceId: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Undefined while the process is down. */
  process: Process | undefined;
  /** Whether it takes itself for the leader of its zone. */
  leads: boolean;
  suspended: boolean;
  cutOff: boolean;
  /** Leaders by the rows that it read last. */
  knownLeaders: readonly Leader[];
  /** Monotonic time of the end of its last fault. */
  disturbedUntilMs: number;
}

export interface ZoneFleetOptions<Process extends ZoneProcess> {
  zonesByRegion: Readonly<Record<string, readonly string[]>>;
  instancesPerZone: number;
  network: MemoryNetwork;
  random: Random;
  /**
   * Whether instances know the leaders of other zones by the rows that they read
   * last. Otherwise they know them at once.
   */
  readsRows?: boolean;
  startProcess(instance: ZoneInstance<Process>): Process;
  /** Called when the process has joined the network. */
  onJoined(
    instance: ZoneInstance<Process>,
    network: PeerNetwork,
    election: LimitElection,
  ): void;
}

const DETECTION_MIN_MS = 300;
const DETECTION_SPREAD_MS = 700;
/** Connections to an instance that is suspended or cut off end after this. */
const SILENT_DETECTION_MS = 3000;
/** Leaders read their rows at this interval. */
const ROW_POLL_MS = 2000;

export class ZoneFleet<Process extends ZoneProcess> {
  readonly instances: ZoneInstance<Process>[] = [];
  readonly regionByZone = new Map<string, string>();
  /** The leader of each zone by the shared table. */
  private readonly leaderRows = new Map<string, ZoneInstance<Process>>();

  private constructor(private readonly options: ZoneFleetOptions<Process>) {
    for (const [region, zones] of Object.entries(options.zonesByRegion)) {
      for (const zone of zones) this.addZone(zone, region);
    }
  }

  static create<Process extends ZoneProcess>(
    options: ZoneFleetOptions<Process>,
  ): ZoneFleet<Process> {
    return new ZoneFleet(options);
  }

  start(): void {
    for (const instance of this.instances) this.startProcess(instance);
  }

  leaderOf(zone: string): ZoneInstance<Process> | undefined {
    return this.leaderRows.get(zone);
  }

  /** Ends the process; a new one, which knows nothing, starts after `downMs`. */
  restart(instance: ZoneInstance<Process>, downMs: number): void {
    if (!instance.process) return;
    instance.process = undefined;
    instance.leads = false;
    instance.disturbedUntilMs = performance.now() + downMs;
    this.options.network.leave(instance.instanceId);
    this.replaceLeader(instance, this.drawDetectionMs());
    setTimeout(() => this.startProcess(instance), downMs);
  }

  /** Suspends the process; what it receives meanwhile is handled afterwards. */
  suspend(instance: ZoneInstance<Process>, forMs: number): void {
    instance.suspended = true;
    instance.disturbedUntilMs = performance.now() + forMs;
    this.options.network.suspend(instance.instanceId);
    this.replaceLeader(instance, SILENT_DETECTION_MS);
    setTimeout(() => {
      instance.suspended = false;
      this.options.network.resume(instance.instanceId);
      this.readRowsLater(instance);
    }, forMs);
  }

  /** Cuts the instance off from all others; its servers stay reachable. */
  cutOff(instance: ZoneInstance<Process>, forMs: number): void {
    const {network} = this.options;
    instance.cutOff = true;
    instance.disturbedUntilMs = performance.now() + forMs;
    const {instanceId} = instance;
    const others = this.instances.filter(other => other !== instance);
    for (const other of others) {
      network.cut(instanceId, other.instanceId);
      network.cut(other.instanceId, instanceId);
    }
    this.replaceLeader(instance, SILENT_DETECTION_MS);
    setTimeout(() => {
      instance.cutOff = false;
      for (const other of others) {
        network.heal(instanceId, other.instanceId);
        network.heal(other.instanceId, instanceId);
      }
      this.readRowsLater(instance);
    }, forMs);
  }

  private addZone(zone: string, region: string): void {
    this.regionByZone.set(zone, region);
    for (let index = 0; index < this.options.instancesPerZone; index += 1) {
      const instance: ZoneInstance<Process> = {
        instanceId: `${zone}-i${index}`,
        availabilityZone: zone,
        region,
        process: undefined,
        leads: false,
        suspended: false,
        cutOff: false,
        knownLeaders: [],
        disturbedUntilMs: -Infinity,
      };
      this.instances.push(instance);
      if (index === 0) this.leaderRows.set(zone, instance);
    }
  }

  private startProcess(instance: ZoneInstance<Process>): void {
    const {availabilityZone, region, instanceId} = instance;
    const {startProcess, onJoined, network} = this.options;
    const process = startProcess(instance);
    instance.leads = this.leaderRows.get(availabilityZone) === instance;
    instance.process = process;
    this.readRows(instance);
    this.pollRows(instance, process);
    const peers = network.join({instanceId, availabilityZone, region});
    onJoined(instance, peers, this.electionOf(instance));
    if (instance.leads) process.becomeLeader();
    else this.followLeader(instance);
  }

  private electionOf(instance: ZoneInstance<Process>): LimitElection {
    const {availabilityZone} = instance;
    const findOwn = () => this.leaderRows.get(availabilityZone);
    const otherLeaders = () =>
      this.options.readsRows ? instance.knownLeaders : this.listLeaders();
    const isConnected = (leader: Leader) =>
      hasProcess(this.findInstance(leader.instanceId));
    return {
      get isLeader(): boolean {
        return instance.process !== undefined && instance.leads;
      },
      get reachableLeader(): Leader | undefined {
        const leader = findOwn();
        const isOther = leader && leader !== instance;
        return isOther && hasProcess(leader) ? leaderRowOf(leader) : undefined;
      },
      get otherLeaders(): Leader[] {
        return otherLeaders().filter(
          leader => leader.availabilityZone !== availabilityZone,
        );
      },
      connect: async leader => isConnected(leader),
    };
  }

  private listLeaders(): Leader[] {
    return [...this.leaderRows.values()].map(leaderRowOf);
  }

  private readRows(instance: ZoneInstance<Process>): void {
    instance.knownLeaders = this.listLeaders();
  }

  /** A leader reads the rows again and again. */
  private pollRows(instance: ZoneInstance<Process>, process: Process): void {
    setTimeout(() => {
      if (instance.process !== process) return;
      if (instance.leads && !instance.suspended) this.readRows(instance);
      this.pollRows(instance, process);
    }, ROW_POLL_MS);
  }

  private findInstance(instanceId: string): ZoneInstance<Process> {
    return this.instances.find(item => item.instanceId === instanceId)!;
  }

  /** Elects another leader if the instance is still gone after `detectedMs`. */
  private replaceLeader(
    instance: ZoneInstance<Process>,
    detectedMs: number,
  ): void {
    const {availabilityZone} = instance;
    setTimeout(() => {
      if (this.leaderRows.get(availabilityZone) !== instance) return;
      const isBack = instance.leads && !instance.suspended && !instance.cutOff;
      if (isBack) return;
      const candidates = this.instances.filter(
        other =>
          other.availabilityZone === availabilityZone &&
          other !== instance &&
          other.process &&
          !other.suspended &&
          !other.cutOff,
      );
      const {random} = this.options;
      const successor = candidates[Math.floor(random() * candidates.length)];
      if (!successor) return;
      this.leaderRows.set(availabilityZone, successor);
      successor.leads = true;
      this.readRows(successor);
      successor.process!.becomeLeader();
      for (const member of candidates) {
        if (member !== successor) this.followLeader(member);
      }
    }, detectedMs);
  }

  /** A former leader notices at its next read of the row that it was replaced. */
  private readRowsLater(instance: ZoneInstance<Process>): void {
    setTimeout(() => {
      if (!instance.process) return;
      const leader = this.leaderRows.get(instance.availabilityZone);
      if (leader === instance) return;
      instance.leads = false;
      this.followLeader(instance);
    }, this.options.random() * ROW_POLL_MS);
  }

  private followLeader(instance: ZoneInstance<Process>): void {
    const leader = this.leaderRows.get(instance.availabilityZone);
    if (!leader || leader === instance) return;
    this.readRows(instance);
    instance.process?.followLeader(leaderRowOf(leader));
  }

  private drawDetectionMs(): number {
    return DETECTION_MIN_MS + this.options.random() * DETECTION_SPREAD_MS;
  }
}

/** A silent instance keeps its connections, while a dead one loses them. */
function hasProcess(leader: {process: unknown}): boolean {
  return leader.process !== undefined;
}
