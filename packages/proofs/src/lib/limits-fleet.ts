/**
 * A seeded fleet of limiters on fake timers, with an in-memory network and table
 * and the faults under which the limits must hold. It records every admission
 * and refusal in a history for the checkers.
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
import {randomBetween, seededRandom} from './limits-random.js';
import type {Random} from './limits-random.js';
import {MutableConfiguration} from './mutable-configuration.js';
import type {TeamLimits} from './mutable-configuration.js';
import type {SimulatedClock} from './simulated-clock.js';
import {SimulatedNetwork} from './simulated-network.js';
import type {MessageFaults} from './simulated-network.js';
import {SimulatedProcess} from './simulated-process.js';
import {SimulatedTable} from './simulated-table.js';
import type {TableFaults} from './simulated-table.js';

/** A limiter that the fleet can run; `stop` returns its share of the limits. */
export interface FleetLimiter extends TeamLimiter {
  start?(): void;
  stop?(): Promise<void>;
}

/** The dependencies of a limiter; `random` is seeded. */
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

const ZONE_COUNT = 6;
const SAME_REGION_DELAY_MS = 1;
const CROSS_REGION_DELAY_MS = 8;
// Delays as in the membership package: unreachable 2 s after the last message,
// reachable again after two heartbeats, removed from the list, which lags, after
// 4 s, and known to have ended after 30 s without being listed.
const UNREACHABLE_AFTER_MS = 2000;
const REACHABLE_AFTER_MS = 400;
const UNLISTED_AFTER_MS = 4000;
const ENDED_AFTER_MS = 34_500;

const logger = createLogger({level: 'error', silent: true});

export class LimitsFleet {
  readonly history = History.create();
  readonly table = MemoryTable.create();
  readonly network: MemoryNetwork;
  readonly random: Random;
  readonly messageFaults: MessageFaults = {
    duplicatedFraction: 0,
    delayedFraction: 0,
    maxDelayMs: 2000,
  };
  readonly tableFaults: TableFaults = {lateWrites: 0, maxDelayMs: 3000};
  private readonly instances = new Map<string, FleetInstance>();
  private nextInstanceNumber = 0;
  private nextRequestNumber = 0;
  private teams: readonly TeamLimits[];

  private constructor(private readonly options: LimitsFleetOptions) {
    this.random = seededRandom(options.seed);
    this.teams = options.teams;
    this.network = MemoryNetwork.create({
      delayMs: (from, to) =>
        randomBetween(this.random, 1, 1.3) *
        (from.region === to.region
          ? SAME_REGION_DELAY_MS
          : CROSS_REGION_DELAY_MS),
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

  /** Running instances, including frozen ones. */
  liveInstances(): FleetInstance[] {
    return [...this.instances.values()];
  }

  addInstance(): FleetInstance {
    const number = this.nextInstanceNumber++;
    const identity: PeerIdentity = {
      instanceId: `i${String(number).padStart(3, '0')}`,
      availabilityZone: `zone-${number % ZONE_COUNT}`,
      region: `region-${number % (ZONE_COUNT / 2)}`,
    };
    const others = this.liveInstances().map(instance => instance.identity);
    const instance = this.createInstance(identity, others);
    this.instances.set(identity.instanceId, instance);
    for (const {membership} of this.liveInstances()) {
      if (membership === instance.membership) continue;
      const member = {identity, listed: true, reachable: true, leaving: false};
      membership.members.set(identity.instanceId, member);
    }
    instance.process.runOrDefer(() => instance.limiter.start?.());
    return instance;
  }

  /** Sends one request of `teamName` to an instance and records its outcome. */
  offerRequest(instance: FleetInstance, teamName: string): void {
    const id = String(this.nextRequestNumber++);
    const name = instance.identity.instanceId;
    instance.process.runOrDefer(() => {
      this.history.record(name, 'offered', id, teamName);
      const admission = instance.limiter.admit(teamName);
      if (!(admission instanceof Promise)) {
        this.recordOutcome(name, id, teamName, admission.admitted);
        return;
      }
      void admission.then(({admitted}) =>
        this.recordOutcome(name, id, teamName, admitted),
      );
    });
  }

  /** Ends an instance abruptly. */
  crash(instance: FleetInstance): void {
    const {instanceId} = instance.identity;
    instance.process.kill();
    this.removeInstance(instanceId);
    setTimeout(
      () => this.setReachable(instanceId, false),
      UNREACHABLE_AFTER_MS,
    );
    setTimeout(() => this.removeMember(instanceId), UNLISTED_AFTER_MS);
    setTimeout(() => {
      for (const {membership} of this.liveInstances())
        membership.gone.add(instanceId);
    }, ENDED_AFTER_MS);
  }

  /** Stops an instance gracefully: it leaves, returns its share and then ends. */
  async stop(instance: FleetInstance): Promise<void> {
    const {instanceId} = instance.identity;
    for (const {membership} of this.liveInstances()) {
      const member = membership.members.get(instanceId);
      if (member) member.leaving = true;
    }
    this.instances.delete(instanceId);
    await new Promise<void>(resolve => {
      instance.process.runOrDefer(() => {
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

  /** Drops all messages from `from` to `to` for `durationMs`. */
  dropMessages(
    from: FleetInstance,
    to: FleetInstance,
    durationMs: number,
  ): void {
    const fromId = from.identity.instanceId;
    const toId = to.identity.instanceId;
    this.network.cut(fromId, toId);
    const setBothReachable = (reachable: boolean) => {
      setMemberReachable(from, toId, reachable);
      setMemberReachable(to, fromId, reachable);
    };
    const unreachable = setTimeout(
      () => setBothReachable(false),
      UNREACHABLE_AFTER_MS,
    );
    setTimeout(() => {
      clearTimeout(unreachable);
      this.network.heal(fromId, toId);
      setTimeout(() => setBothReachable(true), REACHABLE_AFTER_MS);
    }, durationMs);
  }

  startTableOutage(durationMs: number): void {
    this.table.unavailable = true;
    setTimeout(() => (this.table.unavailable = false), durationMs);
  }

  /** Changes the teams; each instance applies the change within 3 s. */
  changeTeams(teams: readonly TeamLimits[]): void {
    this.teams = teams;
    for (const instance of this.liveInstances()) {
      const delayMs = randomBetween(this.random, 0, 3000);
      setTimeout(
        () =>
          instance.process.runOrDefer(() => instance.source.setTeams(teams)),
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
    const peerNetwork = this.network.join(identity);
    const context: LimiterContext = {
      source,
      membership,
      network: SimulatedNetwork.create(
        process,
        peerNetwork,
        messageFaults,
        random,
      ),
      table: SimulatedTable.create(process, table, tableFaults, random),
      logger,
      metrics: DisabledMetrics.create(),
      random,
    };
    const createLimiter =
      this.options.createLimiter ?? BorrowingLimiter.create.bind(null);
    const limiter = createLimiter(context);
    return {identity, process, membership, source, limiter};
  }

  private recordOutcome(
    name: string,
    id: string,
    teamName: string,
    admitted: boolean,
  ): void {
    this.history.record(name, admitted ? 'admitted' : 'refused', id, teamName);
  }

  private removeInstance(instanceId: string): void {
    this.instances.delete(instanceId);
    this.network.leave(instanceId);
  }

  private setReachable(instanceId: string, reachable: boolean): void {
    for (const instance of this.liveInstances()) {
      setMemberReachable(instance, instanceId, reachable);
    }
  }

  private removeMember(instanceId: string): void {
    for (const {membership} of this.liveInstances()) {
      membership.members.delete(instanceId);
    }
  }
}

function setMemberReachable(
  instance: FleetInstance,
  peerId: string,
  reachable: boolean,
): void {
  const member = instance.membership.members.get(peerId);
  if (member) member.reachable = reachable;
}
