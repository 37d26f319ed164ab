/**
 * A seeded fleet of limiters on fake timers, over the in-memory network and
 * table, with the faults that the limits must bear. It records every admission
 * and refusal; checkers read the history afterwards.
 */
import {FixedMembership} from '@fireflytrack/membership';
import type {Membership} from '@fireflytrack/membership';
import {BorrowingLimiter} from '@fireflytrack/limits';
import type {BorrowingLimiterOptions, TeamLimiter} from '@fireflytrack/limits';
import {MemoryTable} from '@fireflytrack/platform';
import {DisabledMetrics, createLogger} from '@fireflytrack/telemetry';
import {MemoryNetwork} from '@fireflytrack/wire';
import type {PeerIdentity} from '@fireflytrack/wire';
import {History} from './history.js';
import {between, seededRandom} from './limits-random.js';
import type {Random} from './limits-random.js';
import {MutableConfiguration} from './mutable-configuration.js';
import type {TeamLimits} from './mutable-configuration.js';
import type {SimulatedClock} from './simulated-clock.js';
import {SimulatedNetwork} from './simulated-network.js';
import type {MessageFaults} from './simulated-network.js';
import {SimulatedProcess} from './simulated-process.js';
import {SimulatedTable} from './simulated-table.js';
import type {TableFaults} from './simulated-table.js';

/** A limiter that the fleet can run; stop returns what it owns. */
export interface FleetLimiter extends TeamLimiter {
  start?(): void;
  stop?(): Promise<void>;
}

/** What a limiter is built from; `random` is seeded. */
export type LimiterContext = BorrowingLimiterOptions & {
  membership: Membership;
  random(): number;
};

export interface LimitsFleetOptions {
  clock: SimulatedClock;
  seed: number;
  instances: number;
  teams: readonly TeamLimits[];
  /** The limiter under test; the borrowing limiter by default. */
  createLimiter?(context: LimiterContext): FleetLimiter;
}

export interface FleetInstance {
  identity: PeerIdentity;
  process: SimulatedProcess;
  membership: FixedMembership;
  source: MutableConfiguration;
  limiter: FleetLimiter;
}

const ZONES = 6;
const ZONE_DELAY_MS = 1;
const REGION_DELAY_MS = 8;
// Times of the membership slice: unheard for 2 s, heard again after two
// heartbeats, unlisted by a lagging list, gone after 30 s of absence.
const UNREACHABLE_AFTER_MS = 2000;
const REACHABLE_AFTER_MS = 400;
const UNLISTED_AFTER_MS = 4000;
const GONE_AFTER_MS = 34_500;

const logger = createLogger({level: 'error', silent: true});

export class LimitsFleet {
  readonly history = History.create();
  readonly table = MemoryTable.create();
  readonly network: MemoryNetwork;
  readonly random: Random;
  readonly messageFaults: MessageFaults = {
    duplicated: 0,
    late: 0,
    lateByMs: 2000,
  };
  readonly tableFaults: TableFaults = {lateWrites: 0, lateByMs: 3000};
  private readonly instances = new Map<string, FleetInstance>();
  private nextInstance = 0;
  private nextRequest = 0;
  private teams: readonly TeamLimits[];

  private constructor(private readonly options: LimitsFleetOptions) {
    this.random = seededRandom(options.seed);
    this.teams = options.teams;
    this.network = MemoryNetwork.create({
      delayMs: (from, to) =>
        between(this.random, 1, 1.3) *
        (from.region === to.region ? ZONE_DELAY_MS : REGION_DELAY_MS),
    });
  }

  /** Creates a fleet and starts its instances. */
  static create(options: LimitsFleetOptions): LimitsFleet {
    const fleet = new LimitsFleet(options);
    for (let count = 0; count < options.instances; count += 1) {
      fleet.addInstance();
    }
    return fleet;
  }

  async advance(durationMs: number): Promise<void> {
    await this.options.clock.advance(durationMs);
  }

  /** Instances that run, frozen ones included. */
  live(): FleetInstance[] {
    return [...this.instances.values()];
  }

  addInstance(): FleetInstance {
    const number = this.nextInstance++;
    const identity: PeerIdentity = {
      instanceId: `i${String(number).padStart(3, '0')}`,
      availabilityZone: `zone-${number % ZONES}`,
      region: `region-${number % (ZONES / 2)}`,
    };
    const others = this.live().map(instance => instance.identity);
    const instance = this.createInstance(identity, others);
    this.instances.set(identity.instanceId, instance);
    for (const {membership} of this.live()) {
      if (membership === instance.membership) continue;
      const member = {identity, listed: true, reachable: true, leaving: false};
      membership.members.set(identity.instanceId, member);
    }
    instance.process.perform(() => instance.limiter.start?.());
    return instance;
  }

  /** One request of `teamName` at an instance; records its outcome. */
  offer(instance: FleetInstance, teamName: string): void {
    const id = String(this.nextRequest++);
    const name = instance.identity.instanceId;
    instance.process.perform(() => {
      this.history.record(name, 'offered', id, teamName);
      const answer = instance.limiter.admit(teamName);
      if (!(answer instanceof Promise)) {
        this.recordAnswer(name, id, teamName, answer.admitted);
        return;
      }
      void answer.then(({admitted}) =>
        this.recordAnswer(name, id, teamName, admitted),
      );
    });
  }

  /** Ends an instance without warning. */
  crash(instance: FleetInstance): void {
    const {instanceId} = instance.identity;
    instance.process.kill();
    this.remove(instanceId);
    setTimeout(
      () => this.setReachable(instanceId, false),
      UNREACHABLE_AFTER_MS,
    );
    setTimeout(() => this.unlist(instanceId), UNLISTED_AFTER_MS);
    setTimeout(() => {
      for (const {membership} of this.live()) membership.gone.add(instanceId);
    }, GONE_AFTER_MS);
  }

  /** Stops an instance as planned: it leaves, returns its share, and ends. */
  async stop(instance: FleetInstance): Promise<void> {
    const {instanceId} = instance.identity;
    for (const {membership} of this.live()) {
      const member = membership.members.get(instanceId);
      if (member) member.leaving = true;
    }
    this.instances.delete(instanceId);
    await new Promise<void>(resolve => {
      instance.process.perform(() => {
        const stopped = instance.limiter.stop?.() ?? Promise.resolve();
        void stopped.then(resolve);
      });
    });
    this.crash(instance);
  }

  freeze(instance: FleetInstance, durationMs: number): void {
    const {process, identity} = instance;
    if (process.isFrozen || process.isDead) return;
    process.freeze();
    const unreachable = setTimeout(
      () => this.setReachable(identity.instanceId, false),
      UNREACHABLE_AFTER_MS,
    );
    setTimeout(() => {
      clearTimeout(unreachable);
      if (process.isDead) return;
      process.resume();
      setTimeout(
        () => this.setReachable(identity.instanceId, true),
        REACHABLE_AFTER_MS,
      );
    }, durationMs);
  }

  /** Drops what `from` sends to `to` for a while. */
  cut(from: FleetInstance, to: FleetInstance, durationMs: number): void {
    const fromId = from.identity.instanceId;
    const toId = to.identity.instanceId;
    this.network.cut(fromId, toId);
    const set = (reachable: boolean) => {
      setMember(from, toId, reachable);
      setMember(to, fromId, reachable);
    };
    const unreachable = setTimeout(() => set(false), UNREACHABLE_AFTER_MS);
    setTimeout(() => {
      clearTimeout(unreachable);
      this.network.heal(fromId, toId);
      setTimeout(() => set(true), REACHABLE_AFTER_MS);
    }, durationMs);
  }

  outage(durationMs: number): void {
    this.table.unavailable = true;
    setTimeout(() => (this.table.unavailable = false), durationMs);
  }

  /** Changes the teams; each instance takes the version up to 3 s later. */
  changeTeams(teams: readonly TeamLimits[]): void {
    this.teams = teams;
    for (const instance of this.live()) {
      const delayMs = between(this.random, 0, 3000);
      setTimeout(
        () => instance.process.perform(() => instance.source.setTeams(teams)),
        delayMs,
      );
    }
  }

  private createInstance(
    identity: PeerIdentity,
    others: readonly PeerIdentity[],
  ): FleetInstance {
    const process = SimulatedProcess.create(identity.instanceId);
    const membership = FixedMembership.create(identity, others);
    const source = MutableConfiguration.create(this.teams);
    const {random, messageFaults, tableFaults, table} = this;
    const joined = this.network.join(identity);
    const context: LimiterContext = {
      source,
      membership,
      network: SimulatedNetwork.create(process, joined, messageFaults, random),
      table: SimulatedTable.create(process, table, tableFaults, random),
      logger,
      metrics: DisabledMetrics.create(),
      random,
    };
    const create =
      this.options.createLimiter ?? BorrowingLimiter.create.bind(null);
    const limiter = create(context);
    return {identity, process, membership, source, limiter};
  }

  private recordAnswer(
    name: string,
    id: string,
    teamName: string,
    admitted: boolean,
  ): void {
    this.history.record(name, admitted ? 'admitted' : 'refused', id, teamName);
  }

  private remove(instanceId: string): void {
    this.instances.delete(instanceId);
    this.network.leave(instanceId);
  }

  private setReachable(instanceId: string, reachable: boolean): void {
    for (const instance of this.live()) {
      setMember(instance, instanceId, reachable);
    }
  }

  private unlist(instanceId: string): void {
    for (const {membership} of this.live()) {
      membership.members.delete(instanceId);
    }
  }
}

function setMember(
  instance: FleetInstance,
  peerId: string,
  reachable: boolean,
): void {
  const member = instance.membership.members.get(peerId);
  if (member) member.reachable = reachable;
}
