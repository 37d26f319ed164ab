/**
 * Membership of this instance in its availability zone: the peer network, the
 * leader election, and the services that the leader provides.
 *
 * The peer network needs the fleet's secret from the shared table, so it starts
 * after the first successful read; until then rate-limited requests are
 * refused.
 */
import type {TableRow, TableService} from '@fireflytrack/platform';
import type {TeamPolicy} from '@fireflytrack/policy';
import type {Logger} from '@fireflytrack/telemetry';
import type {
  KnownLimits,
  LimitGrants,
  RetryBudget,
} from '@fireflytrack/upstream';
import {TcpPeerNetwork} from '@fireflytrack/wire';
import {sleep} from '@fireflytrack/time';
import {
  FleetSecretKeeper,
  findFleetSecret,
  storeNewFleetSecret,
} from './fleet-secret.js';
import {FailureExchange} from './failure-exchange.js';
import type {ServerFailure} from './failure-exchange.js';
import type {RelayAccess} from './relayed-feed.js';
import type {SharedFeed} from './shared-feed.js';
import {FLEET_SECRET_KEY, findRowVersion} from './leader-row.js';
import type {Leader} from './leader-row.js';
import type {RateDecision, RateLimiter} from './rate-limiter.js';
import type {RetryBounds} from './retry-ledger.js';
import type {RateBounds} from './zone-buckets.js';
import {ZoneElection} from './zone-election.js';
import {ZoneLimitGrants} from './zone-limit-grants.js';
import {ZoneRetries} from './zone-retries.js';
import {
  MAX_LEADER_WAIT_MS,
  ZoneRateLimiter,
  createNoLeaderRefusal,
} from './zone-rate-limiter.js';

export interface ZoneMemberOptions {
  self: Leader;
  /** Delay of the first read of the table, in milliseconds. */
  startDelayMs?: number;
  /** Called when the first attempt to join fails, as the address is in use. */
  onJoinFailed?: (error: unknown) => void;
  table: TableService;
  rateBounds: RateBounds;
  retryBounds: RetryBounds;
  findTeam(name: string): TeamPolicy | undefined;
  /** Limits that backend servers named, as this instance knows them. */
  limits: KnownLimits;
  /** Upper estimate of the running instances. */
  estimateInstances(): number;
  /** Feeds that the leader reads on behalf of the zone. */
  feeds: Pick<SharedFeed<never>, 'join'>[];
  followers: LeaderFollower[];
  /** Called when another instance reports a failed backend server. */
  onServerFailure(failure: ServerFailure): void;
  logger: Logger;
}

/** A part of the instance that exchanges data with the leaders of zones. */
export interface LeaderFollower {
  /** Called once the instance has joined its zone. */
  join(access: RelayAccess): void;
  /** Called when the instance starts to follow a leader. */
  followLeader(leader: Leader): void;
  /** Called when the instance becomes leader of its zone. */
  becomeLeader(): void;
}

// Spreads the first reads and writes of instances that start together.
const START_JITTER_MS = 150;
const TABLE_RETRY_MS = 300;
const JOIN_POLL_MS = 10;
const MAX_SCAN_ROWS = 200;

export class ZoneMember implements RateLimiter {
  private network: TcpPeerNetwork | undefined;
  private election: ZoneElection | undefined;
  private limiter: ZoneRateLimiter | undefined;
  private failureExchange: FailureExchange | undefined;
  private readonly retries: ZoneRetries;
  private readonly grants: ZoneLimitGrants;
  private isCandidate = true;
  private stopped = false;

  private constructor(private readonly options: ZoneMemberOptions) {
    this.retries = ZoneRetries.create(options.retryBounds);
    this.grants = ZoneLimitGrants.create({
      limits: options.limits,
      instances: () => options.estimateInstances(),
    });
  }

  static create(options: ZoneMemberOptions): ZoneMember {
    return new ZoneMember(options);
  }

  start(): void {
    void this.tryJoin();
  }

  private async tryJoin(): Promise<void> {
    const {logger, onJoinFailed} = this.options;
    const isFirst = !this.election;
    while (!this.stopped) {
      try {
        await this.join();
        return;
      } catch (error) {
        logger.error('failed to join the zone', {reason: String(error)});
        // An instance that serves callers goes on without the zone.
        if (isFirst) {
          onJoinFailed?.(error);
          return;
        }
        await sleep(TABLE_RETRY_MS);
      }
    }
  }

  /**
   * Called when the instance is about to stop: it does not become leader any
   * more, because the zone would soon be without one again.
   */
  withdrawCandidacy(): void {
    this.isCandidate = false;
    this.election?.withdrawCandidacy();
  }

  /**
   * Leaves the zone; other instances notice the closed connections immediately.
   */
  async stop(): Promise<void> {
    this.stopped = true;
    this.election?.stop();
    await this.network?.stop();
  }

  async admit(team: TeamPolicy): Promise<RateDecision> {
    if (team.ratePerSecond === 0) return {admitted: true};
    const deadlineAtMs = performance.now() + MAX_LEADER_WAIT_MS;
    while (!this.limiter && performance.now() < deadlineAtMs) {
      await sleep(JOIN_POLL_MS);
    }
    return this.limiter ? this.limiter.admit(team) : createNoLeaderRefusal();
  }

  refund(team: TeamPolicy): void {
    this.limiter?.refund(team);
  }

  /** Returns the retry budget of a service. */
  retryBudgetFor(service: string): RetryBudget {
    return this.retries.budgetFor(service);
  }

  /** Grants for requests to servers that named a limit. */
  get limitGrants(): LimitGrants {
    return this.grants;
  }

  /** Number of instances in the fleet; undefined while no leader is known. */
  get instances(): number | undefined {
    const {election} = this;
    const known = election?.isLeader || election?.reachableLeader;
    return known ? election?.instances : undefined;
  }

  get isLeader(): boolean {
    return this.election?.isLeader ?? false;
  }

  /** Reports a failed backend server to the other instances. */
  reportFailure(failure: ServerFailure): void {
    this.failureExchange?.report(failure);
  }

  state(): unknown {
    const {election} = this;
    return {
      leads: election?.isLeader ?? false,
      leader: election?.reachableLeader?.instanceId,
      zones: election?.zoneCount,
    };
  }

  private async join(): Promise<void> {
    const {startDelayMs = 0} = this.options;
    await sleep(startDelayMs + Math.random() * START_JITTER_MS);
    const tableState = await this.readTable();
    if (!tableState || this.stopped) return;
    const {self, table, rateBounds, findTeam: teamOf, logger} = this.options;
    const {instanceId, availabilityZone, region, host, port} = self;
    const network = TcpPeerNetwork.create({
      self: {instanceId, availabilityZone, region},
      host,
      port,
      fleetSecret: tableState.secret,
      logger,
    });
    await network.start();
    const onBecomeLeader = (vacantSinceMs: number | undefined) => {
      this.limiter?.becomeLeader(vacantSinceMs);
      this.retries.becomeLeader();
      for (const follower of this.followers) follower.becomeLeader();
    };
    const secretKeeper = FleetSecretKeeper.create({
      table,
      secret: tableState.secret,
      onReplaced: () => void this.rejoin(),
    });
    const election = ZoneElection.create({
      self,
      table,
      network,
      logger,
      onBecomeLeader,
      onRowsRead: rows => secretKeeper.check(rows),
      onFollowLeader: leader => {
        for (const follower of this.followers) follower.followLeader(leader);
      },
    });
    if (!this.isCandidate) election.withdrawCandidacy();
    this.network = network;
    this.election = election;
    this.limiter = ZoneRateLimiter.create({
      bounds: rateBounds,
      election,
      network,
      findTeam: teamOf,
    });
    this.retries.join({network, election});
    for (const follower of this.followers) follower.join({network, election});
    this.failureExchange = FailureExchange.create({
      network,
      election,
      onFailure: failure => this.options.onServerFailure(failure),
    });
    for (const feed of this.options.feeds) feed.join({network, election});
    election.start(tableState.rows);
  }

  /** Joins again with the secret that the table holds now. */
  private async rejoin(): Promise<void> {
    this.options.logger.warn('fleet secret replaced, joining again');
    this.election?.stop();
    this.limiter = undefined;
    await this.network?.stop();
    await this.tryJoin();
  }

  private get followers(): LeaderFollower[] {
    return [this.grants, ...this.options.followers];
  }

  private async readTable(): Promise<
    {secret: string; rows: TableRow[]} | undefined
  > {
    const {table, logger} = this.options;
    for (let attempt = 0; !this.stopped; attempt += 1) {
      // Several instances may store the first secret at the same time; only what
      // lasts longer needs a pause.
      if (attempt > 1) await sleep(TABLE_RETRY_MS);
      const rows = await table.scan('', MAX_SCAN_ROWS);
      if (rows.err) continue;
      const secret = findFleetSecret(rows.val);
      if (secret !== undefined) return {secret, rows: rows.val};
      if (attempt === 0 && findRowVersion(rows.val, FLEET_SECRET_KEY) > 0) {
        logger.warn('fleet secret not usable, writing another');
      }
      await storeNewFleetSecret(table, rows.val);
    }
    return undefined;
  }
}
