/**
 * A fleet of instances on in-memory fakes whose history the checkers read.
 *
 * Every 100 ms, or every `probePeriodMs`, each running instance authenticates
 * every issued key and a forgery of it, as it would for callers. The result is
 * recorded as a `probe` event.
 */
import {FixedMembership} from '@fireflytrack/membership';
import {MemoryObjectStore, MemoryTable} from '@fireflytrack/platform';
import {MemoryNetwork} from '@fireflytrack/wire';
import type {PeerIdentity} from '@fireflytrack/wire';
import {
  InstanceTable,
  JournaledTable,
  PauseGate,
  pausableNetwork,
} from './configuration-faults.js';
import type {
  InstanceFactory,
  InstanceUnderTest,
} from './configuration-instance.js';
import {History} from './history.js';

export interface FleetOptions {
  instances: number;
  factory: InstanceFactory;
  probePeriodMs?: number;
}

export interface FleetMember {
  identity: PeerIdentity;
  /** Kept over restarts, whereas each start gets a new instance id. */
  slot: number;
  instance: InstanceUnderTest;
  membership: FixedMembership;
  table: InstanceTable;
  gate: PauseGate;
}

export interface Probe {
  slot: number;
  version: number;
  serving: boolean;
  /** Team of each accepted key, by the text of the key. */
  admitted: Record<string, string>;
}

export interface IssuedKey {
  keyId: string;
  key: string;
  team: string;
}

export const REGIONS = ['nord', 'sahel', 'sud'] as const;
export const STORE_REGION = REGIONS[0];
/** Table row that holds the key set. */
export const KEY_SET_ROW_KEY = 'keys/head';
const CROSS_REGION_DELAY_MS = 8;
const SAME_REGION_DELAY_MS = 1;
const PROBE_PERIOD_MS = 100;
/** Delay after which the platform's instance list shows an ended instance. */
const INSTANCE_LIST_LAG_MS = 2000;

export class ConfigurationFleet {
  readonly history = History.create();
  readonly members: FleetMember[] = [];
  readonly keys: IssuedKey[] = [];
  readonly table = MemoryTable.create();
  readonly journal = JournaledTable.create(this.table);
  readonly objects = MemoryObjectStore.create();
  readonly network = MemoryNetwork.create({
    delayMs: (from, to) =>
      from.region === to.region ? SAME_REGION_DELAY_MS : CROSS_REGION_DELAY_MS,
  });
  private readonly blockedRegionLinks = new Set<string>();
  private readonly probeTimer: NodeJS.Timeout;
  private startCount = 0;

  private constructor(private readonly options: FleetOptions) {
    const periodMs = options.probePeriodMs ?? PROBE_PERIOD_MS;
    this.probeTimer = setInterval(() => this.probeAll(), periodMs);
  }

  static create(options: FleetOptions): ConfigurationFleet {
    const fleet = new ConfigurationFleet(options);
    for (let slot = 0; slot < options.instances; slot += 1)
      fleet.startInstance(slot);
    return fleet;
  }

  /** Starts an instance in a slot, which determines its region. */
  startInstance(slot: number): FleetMember {
    this.startCount += 1;
    const region = REGIONS[slot % REGIONS.length]!;
    const availabilityZone = `${region}-1`;
    const instanceId = `${region}-i${this.startCount}`;
    const identity = {instanceId, availabilityZone, region};
    const others = this.members.map(member => member.identity);
    const membership = FixedMembership.create(identity, others);
    for (const member of this.members) {
      const listed = {listed: true, reachable: true, leaving: false};
      member.membership.members.set(instanceId, {identity, ...listed});
    }
    const gate = PauseGate.create();
    const table = InstanceTable.create(this.journal, gate);
    const instance = this.options.factory({
      table,
      objects: this.objects,
      network: pausableNetwork(this.network.join(identity), gate),
      membership,
      storeRegion: STORE_REGION,
    });
    const member = {identity, slot, instance, membership, table, gate};
    this.members.push(member);
    this.applyPartitions(member);
    void instance.start();
    return member;
  }

  /** Starts an instance in a slot that was never used. */
  startInNewSlot(choice: number): FleetMember {
    const slotRound = 100 + this.startCount;
    return this.startInstance(
      REGIONS.length * slotRound + (choice % REGIONS.length),
    );
  }

  /** Ends an instance without notice; the instance list shows it later. */
  endInstance(member: FleetMember): void {
    const {instanceId} = member.identity;
    this.members.splice(this.members.indexOf(member), 1);
    member.instance.stop();
    this.network.leave(instanceId);
    setTimeout(() => {
      for (const {membership} of this.members) {
        membership.members.delete(instanceId);
        membership.gone.add(instanceId);
      }
    }, INSTANCE_LIST_LAG_MS);
  }

  /**
   * Drops all traffic from one region to another: messages between instances,
   * and requests to the store or responses from it, which use the same link.
   */
  blockRegionLink(from: string, to: string): void {
    this.blockedRegionLinks.add(`${from}>${to}`);
    for (const member of this.members) this.applyPartitions(member);
  }

  unblockRegionLink(from: string, to: string): void {
    this.blockedRegionLinks.delete(`${from}>${to}`);
    for (const member of this.members) this.applyPartitions(member);
  }

  stop(): void {
    clearInterval(this.probeTimer);
    for (const member of this.members) member.instance.stop();
  }

  /** Records the state of the instance as a caller would observe it now. */
  probeMember(member: FleetMember): void {
    const {instance, identity, slot} = member;
    const serving = instance.mayServe();
    const admitted: Record<string, string> = {};
    for (const {key} of serving ? this.keys : []) {
      for (const presented of [key, forgeKey(key)]) {
        const holder = instance.keys.authenticate(presented);
        if (holder.ok) admitted[presented] = holder.val.teamName;
      }
    }
    const probe: Probe = {slot, version: instance.version(), serving, admitted};
    this.history.record(identity.instanceId, 'probe', '', probe);
  }

  private probeAll(): void {
    for (const member of this.members) {
      if (!member.gate.paused) this.probeMember(member);
    }
  }

  private applyPartitions(member: FleetMember): void {
    const {instanceId, region} = member.identity;
    for (const {identity} of this.members) {
      const otherId = identity.instanceId;
      this.updateLink(instanceId, otherId, `${region}>${identity.region}`);
      this.updateLink(otherId, instanceId, `${identity.region}>${region}`);
    }
    const {requestBlocks, responseBlocks} = member.table;
    const cause = 'region';
    requestBlocks.delete(cause);
    responseBlocks.delete(cause);
    if (this.blockedRegionLinks.has(`${region}>${STORE_REGION}`)) {
      requestBlocks.add(cause);
    }
    if (this.blockedRegionLinks.has(`${STORE_REGION}>${region}`))
      responseBlocks.add(cause);
  }

  private updateLink(from: string, to: string, regionLink: string): void {
    if (this.blockedRegionLinks.has(regionLink)) this.network.cut(from, to);
    else this.network.heal(from, to);
  }
}

/** Returns a key with the same key id and a different secret. */
export function forgeKey(key: string): string {
  return key.slice(0, -1) + (key.endsWith('0') ? '1' : '0');
}
