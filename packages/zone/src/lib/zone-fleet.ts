/**
 * The part of this instance in its availability zone: its place in the peer
 * network, the election of the leader, and what the leader does for others.
 *
 * The peer network needs the fleet's secret from the shared table, so that it
 * starts when the table was read; until then no rate is granted.
 */
import type {TableRow, TableService} from '@fireflytrack/platform';
import type {TeamPolicy} from '@fireflytrack/policy';
import type {Logger} from '@fireflytrack/telemetry';
import type {RetryBudget} from '@fireflytrack/upstream';
import {TcpPeerNetwork} from '@fireflytrack/wire';
import {sleep} from '@fireflytrack/time';
import {secretIn, storeSecret} from './fleet-secret.js';
import {FailureExchange} from './failure-exchange.js';
import type {ServerFailure} from './failure-exchange.js';
import type {FeedRelay} from './feed-relay.js';
import type {RelayedFeed} from './relayed-feed.js';
import type {Leader} from './leader-row.js';
import type {RateDecision, RateLimiter} from './rate-limiter.js';
import type {RepeatBounds} from './repeat-ledger.js';
import type {RateBounds} from './zone-buckets.js';
import {ZoneElection} from './zone-election.js';
import {ZoneRepeats} from './zone-repeats.js';
import {
  LEADER_WAIT_MS,
  ZoneRateLimiter,
  noLeader,
} from './zone-rate-limiter.js';

export interface ZoneFleetOptions {
  self: Leader;
  table: TableService;
  rateBounds: RateBounds;
  repeatBounds: RepeatBounds;
  teamOf(name: string): TeamPolicy | undefined;
  /** Feeds that the leader reads for the zone. */
  relays: RelayPair[];
  /** Another instance saw a backend server fail. */
  onServerFailure(failure: ServerFailure): void;
  logger: Logger;
}

/** A feed as this instance reads it and as it passes it on. */
export interface RelayPair {
  feed: Pick<RelayedFeed<never>, 'useRelay'>;
  relay: Pick<FeedRelay<never>, 'serve'>;
}

// Spreads the first reads and writes of instances that start together.
const START_SPREAD_MS = 150;
const STORE_RETRY_MS = 300;
const JOIN_CHECK_MS = 10;
const MAX_ROWS = 200;

export class ZoneFleet implements RateLimiter {
  private network: TcpPeerNetwork | undefined;
  private election: ZoneElection | undefined;
  private limiter: ZoneRateLimiter | undefined;
  private failures: FailureExchange | undefined;
  private readonly repeats: ZoneRepeats;
  private stopped = false;

  private constructor(private readonly options: ZoneFleetOptions) {
    this.repeats = ZoneRepeats.create(options.repeatBounds);
  }

  static create(options: ZoneFleetOptions): ZoneFleet {
    return new ZoneFleet(options);
  }

  start(): void {
    this.join().catch((error: unknown) => {
      const reason = String(error);
      this.options.logger.error('zone not joined', {reason});
    });
  }

  /** Gives the lead up; other instances of the zone notice at once. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.election?.stop();
    await this.network?.stop();
  }

  async admit(team: TeamPolicy): Promise<RateDecision> {
    if (team.ratePerSecond === 0) return {admitted: true};
    const giveUpAtMs = performance.now() + LEADER_WAIT_MS;
    while (!this.limiter && performance.now() < giveUpAtMs) {
      await sleep(JOIN_CHECK_MS);
    }
    return this.limiter ? this.limiter.admit(team) : noLeader();
  }

  giveBack(team: TeamPolicy): void {
    this.limiter?.giveBack(team);
  }

  /** The budget of repeats at a service. */
  repeatBudgetOf(service: string): RetryBudget {
    return this.repeats.budgetOf(service);
  }

  /** Instances of the fleet; undefined before the zone was joined. */
  get instances(): number | undefined {
    const {election} = this;
    const known = election?.isLeader || election?.reachableLeader;
    return known ? election?.instances : undefined;
  }

  get isLeader(): boolean {
    return this.election?.isLeader ?? false;
  }

  /** Tells the other instances that a backend server failed. */
  reportFailure(failure: ServerFailure): void {
    this.failures?.report(failure);
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
    await sleep(Math.random() * START_SPREAD_MS);
    const found = await this.readTable();
    if (!found || this.stopped) return;
    const {self, table, rateBounds, teamOf, logger} = this.options;
    const {instanceId, availabilityZone, region, host, port} = self;
    const network = TcpPeerNetwork.create({
      self: {instanceId, availabilityZone, region},
      host,
      port,
      fleetSecret: found.secret,
      logger,
    });
    await network.start();
    const onLead = (vacantSinceMs: number) => {
      this.limiter?.beginLead(vacantSinceMs);
      this.repeats.beginLead();
    };
    const election = ZoneElection.create({
      self,
      table,
      network,
      logger,
      onLead,
    });
    this.network = network;
    this.election = election;
    this.limiter = ZoneRateLimiter.create({
      bounds: rateBounds,
      election,
      network,
      teamOf,
    });
    this.repeats.join({network, election});
    this.failures = FailureExchange.create({
      network,
      election,
      onFailure: failure => this.options.onServerFailure(failure),
    });
    for (const {feed, relay} of this.options.relays) {
      relay.serve(network, election);
      feed.useRelay({network, election});
    }
    election.start(found.rows);
  }

  private async readTable(): Promise<
    {secret: string; rows: TableRow[]} | undefined
  > {
    const {table} = this.options;
    while (!this.stopped) {
      const rows = await table.scan('', MAX_ROWS);
      const secret = rows.ok ? secretIn(rows.val) : undefined;
      if (rows.ok && secret !== undefined) return {secret, rows: rows.val};
      if (rows.ok) await storeSecret(table);
      else await sleep(STORE_RETRY_MS);
    }
    return undefined;
  }
}
