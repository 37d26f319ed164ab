/**
 * A fleet of instances on memory fakes whose history the checkers read.
 *
 * Every 100 ms, or as given, each running instance is asked with every key that was issued
 * and with a forgery of it: event `probe`, as callers would see the instance.
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
import type {InstanceFactory, ProofInstance} from './configuration-instance.js';
import {History} from './history.js';

export interface FleetOptions {
  instances: number;
  factory: InstanceFactory;
  probePeriodMs?: number;
}

export interface FleetMember {
  identity: PeerIdentity;
  /** Stays the same over restarts, while each start has its own id. */
  slot: number;
  instance: ProofInstance;
  membership: FixedMembership;
  table: InstanceTable;
  gate: PauseGate;
}

export interface Probe {
  slot: number;
  version: number;
  serving: boolean;
  /** Team that each presented key ran for, by the text of the key. */
  admitted: Record<string, string>;
}

export interface ProofKey {
  keyId: string;
  key: string;
  team: string;
}

export const REGIONS = ['nord', 'sahel', 'sud'] as const;
export const STORE_REGION = REGIONS[0];
/** Row of the table that holds the key set. */
export const KEYS_STATE_KEY = 'keys/head';
const REGION_DELAY_MS = 8;
const ZONE_DELAY_MS = 1;
const PROBE_PERIOD_MS = 100;
/** Time after which the platform's list shows that an instance ended. */
const LIST_LAG_MS = 2000;

export class ConfigurationFleet {
  readonly history = History.create();
  readonly members: FleetMember[] = [];
  readonly keys: ProofKey[] = [];
  readonly table = MemoryTable.create();
  readonly journal = JournaledTable.create(this.table);
  readonly objects = MemoryObjectStore.create();
  readonly network = MemoryNetwork.create({
    delayMs: (from, to) =>
      from.region === to.region ? ZONE_DELAY_MS : REGION_DELAY_MS,
  });
  private readonly cutRegions = new Set<string>();
  private readonly probing: NodeJS.Timeout;
  private born = 0;

  private constructor(private readonly options: FleetOptions) {
    const periodMs = options.probePeriodMs ?? PROBE_PERIOD_MS;
    this.probing = setInterval(() => this.probe(), periodMs);
  }

  static create(options: FleetOptions): ConfigurationFleet {
    const fleet = new ConfigurationFleet(options);
    for (let slot = 0; slot < options.instances; slot += 1) fleet.add(slot);
    return fleet;
  }

  /** Starts an instance; the slot decides its region. */
  add(slot: number): FleetMember {
    this.born += 1;
    const region = REGIONS[slot % REGIONS.length]!;
    const availabilityZone = `${region}-1`;
    const instanceId = `${region}-i${this.born}`;
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
    this.setRegionCuts(member);
    void instance.start();
    return member;
  }

  /** Starts an instance that takes the place of no other. */
  addNew(choice: number): FleetMember {
    const place = 100 + this.born;
    return this.add(REGIONS.length * place + (choice % REGIONS.length));
  }

  /** Ends an instance without notice; the list shows it some time later. */
  end(member: FleetMember): void {
    const {instanceId} = member.identity;
    this.members.splice(this.members.indexOf(member), 1);
    member.instance.stop();
    this.network.leave(instanceId);
    setTimeout(() => {
      for (const {membership} of this.members) {
        membership.members.delete(instanceId);
        membership.gone.add(instanceId);
      }
    }, LIST_LAG_MS);
  }

  /**
   * Cuts what one region sends to another: messages between instances, and
   * requests to the store or its answers, which take the same way.
   */
  cutRegion(from: string, to: string): void {
    this.cutRegions.add(`${from}>${to}`);
    for (const member of this.members) this.setRegionCuts(member);
  }

  healRegion(from: string, to: string): void {
    this.cutRegions.delete(`${from}>${to}`);
    for (const member of this.members) this.setRegionCuts(member);
  }

  stop(): void {
    clearInterval(this.probing);
    for (const member of this.members) member.instance.stop();
  }

  /** Records what a caller would see of the instance now. */
  probeMember(member: FleetMember): void {
    const {instance, identity, slot} = member;
    const serving = instance.mayServe();
    const admitted: Record<string, string> = {};
    for (const {key} of serving ? this.keys : []) {
      for (const presented of [key, forgeryOf(key)]) {
        const holder = instance.keys.authenticate(presented);
        if (holder.ok) admitted[presented] = holder.val.teamName;
      }
    }
    const probe: Probe = {slot, version: instance.version(), serving, admitted};
    this.history.record(identity.instanceId, 'probe', '', probe);
  }

  private probe(): void {
    for (const member of this.members) {
      if (!member.gate.paused) this.probeMember(member);
    }
  }

  private setRegionCuts(member: FleetMember): void {
    const {instanceId, region} = member.identity;
    for (const {identity} of this.members) {
      const other = identity.instanceId;
      this.setCut(instanceId, other, `${region}>${identity.region}`);
      this.setCut(other, instanceId, `${identity.region}>${region}`);
    }
    const {requestCuts, answerCuts} = member.table;
    const cause = 'region';
    requestCuts.delete(cause);
    answerCuts.delete(cause);
    if (this.cutRegions.has(`${region}>${STORE_REGION}`)) {
      requestCuts.add(cause);
    }
    if (this.cutRegions.has(`${STORE_REGION}>${region}`)) answerCuts.add(cause);
  }

  private setCut(from: string, to: string, regions: string): void {
    if (this.cutRegions.has(regions)) this.network.cut(from, to);
    else this.network.heal(from, to);
  }
}

/** Same key id, another secret. */
export function forgeryOf(key: string): string {
  return key.slice(0, -1) + (key.endsWith('0') ? '1' : '0');
}
