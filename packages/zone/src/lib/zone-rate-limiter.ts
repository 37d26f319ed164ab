/**
 * Rate limiting per team, pooled per availability zone.
 *
 * The zone leader holds the zone's share of each rate, as far as the instances of
 * the zone follow it, and admits requests for the other instances; a leader that runs out of tokens borrows from the
 * leaders of other zones. An instance that cannot reach its leader sends its
 * requests to the leaders of other zones. If none is reachable it refuses,
 * because it does not know what other instances admit.
 */
import type {TeamPolicy} from '@fireflytrack/policy';
import type {PeerDialer, PeerNetwork} from '@fireflytrack/wire';
import {z} from 'zod';
import type {Leader} from './leader-row.js';
import type {RateDecision, RateLimiter} from './rate-limiter.js';
import {ZoneBuckets} from './zone-buckets.js';
import type {RateBounds} from './zone-buckets.js';
import type {ZoneElection} from './zone-election.js';

export interface ZoneRateLimiterOptions {
  bounds: RateBounds;
  election: ZoneElection;
  network: PeerNetwork & PeerDialer;
  /** Returns the team's policy that is in force. */
  findTeam(name: string): TeamPolicy | undefined;
}

const TAKE_KIND = 'rate.take';
const LEND_KIND = 'rate.lend';
const REFUND_KIND = 'rate.give-back';

// A response within a zone takes less than a millisecond; a slow leader must
// not delay a request for much longer than a remote one would.
const TAKE_TIMEOUT_MS = 150;
// A round trip between regions takes some 20 ms.
const LEND_TIMEOUT_MS = 80;
// Opening a connection to another region and proving the fleet's secret takes
// three round trips.
const CONNECT_TIMEOUT_MS = 150;
const TOKENS_PER_LOAN = 4;
// After no other zone had tokens to lend, none is requested for this long.
const BORROW_PAUSE_MS = 1000;
// A request may wait this long for a leader election: an eighth of the shortest
// latency objective.
export const MAX_LEADER_WAIT_MS = 120;
const NO_LEADER_RETRY_AFTER_MS = 300;

const takeRequestSchema = z.object({team: z.string()});
const takeResponseSchema = z.discriminatedUnion('admitted', [
  z.object({admitted: z.literal(true)}),
  z.object({
    admitted: z.literal(false),
    reason: z.enum(['over-rate', 'no-leader']),
    retryAfterMs: z.number().nonnegative(),
  }),
]);
const loanSchema = z.number().nonnegative().max(TOKENS_PER_LOAN);
const lendRequestSchema = z.object({team: z.string(), tokens: loanSchema});
const lendResponseSchema = z.object({tokens: loanSchema});

/** Returns the refusal for requests while no leader is reachable. */
export function createNoLeaderRefusal(): RateDecision {
  const retryAfterMs = NO_LEADER_RETRY_AFTER_MS;
  return {admitted: false, reason: 'no-leader', retryAfterMs};
}

export class ZoneRateLimiter implements RateLimiter {
  private readonly buckets: ZoneBuckets;
  private readonly runningBorrows = new Map<string, Promise<void>>();
  private readonly borrowPausedUntilMs = new Map<string, number>();

  private constructor(private readonly options: ZoneRateLimiterOptions) {
    const {bounds, election, network} = options;
    this.buckets = ZoneBuckets.create(
      bounds,
      () => election.zoneCount,
      () => election.share.fraction,
    );
    // Also without requests, so that the buckets fill with the new fraction.
    election.share.onFollowerCounted = () => this.buckets.update();
    network.onRequest(TAKE_KIND, (_from, payload) => this.handleTake(payload));
    network.onRequest(LEND_KIND, (_from, payload) => this.handleLend(payload));
    network.onMessage(REFUND_KIND, (_from, payload) =>
      this.handleRefund(payload),
    );
  }

  static create(options: ZoneRateLimiterOptions): ZoneRateLimiter {
    return new ZoneRateLimiter(options);
  }

  /**
   * Resets the buckets. The zone has had no leader since `vacantSinceMs`, or the
   * former one may still act if that is undefined.
   */
  becomeLeader(vacantSinceMs: number | undefined): void {
    this.buckets.reset(vacantSinceMs);
    this.buckets.update();
  }

  async admit(team: TeamPolicy): Promise<RateDecision> {
    if (team.ratePerSecond === 0) return {admitted: true};
    const {election} = this.options;
    await election.waitForLeader(MAX_LEADER_WAIT_MS);
    if (election.isLeader) return this.takeLocally(team);
    const ownLeader = election.reachableLeader;
    const ownDecision =
      ownLeader && (await this.takeFromLeader(ownLeader, team));
    if (ownDecision) return ownDecision;
    for (const leader of election.otherLeaders) {
      const otherDecision = await this.takeFromLeader(leader, team);
      if (otherDecision) return otherDecision;
    }
    return createNoLeaderRefusal();
  }

  refund(team: TeamPolicy): void {
    if (team.ratePerSecond === 0) return;
    const {election, network} = this.options;
    if (election.isLeader) {
      this.buckets.refund(team);
      return;
    }
    const leader = election.reachableLeader;
    if (!leader) return;
    network.send(leader.instanceId, REFUND_KIND, {team: team.name});
  }

  private async takeFromLeader(
    leader: Leader,
    team: TeamPolicy,
  ): Promise<RateDecision | undefined> {
    const {network, election} = this.options;
    if (!(await election.connect(leader, CONNECT_TIMEOUT_MS))) return undefined;
    const response = await network.request(
      leader.instanceId,
      TAKE_KIND,
      {team: team.name},
      TAKE_TIMEOUT_MS,
    );
    if (response.err) return undefined;
    const decision = takeResponseSchema.safeParse(response.val);
    return decision.success ? decision.data : undefined;
  }

  private async takeLocally(team: TeamPolicy): Promise<RateDecision> {
    const {election} = this.options;
    await election.share.renew();
    if (!election.isLeader) return createNoLeaderRefusal();
    if (this.buckets.tryTake(team)) return {admitted: true};
    await this.borrow(team);
    if (this.buckets.tryTake(team)) return {admitted: true};
    const retryAfterMs = this.buckets.waitMs(team);
    return {admitted: false, reason: 'over-rate', retryAfterMs};
  }

  /**
   * Borrows from other zones; concurrent calls for one team share one attempt.
   */
  private borrow(team: TeamPolicy): Promise<void> {
    const pausedUntilMs = this.borrowPausedUntilMs.get(team.name) ?? 0;
    if (performance.now() < pausedUntilMs) return Promise.resolve();
    let running = this.runningBorrows.get(team.name);
    if (!running) {
      running = this.borrowFromOtherZones(team).finally(() =>
        this.runningBorrows.delete(team.name),
      );
      this.runningBorrows.set(team.name, running);
    }
    return running;
  }

  private async borrowFromOtherZones(team: TeamPolicy): Promise<void> {
    const {network, election} = this.options;
    for (const leader of election.otherLeaders) {
      if (!(await election.connect(leader, CONNECT_TIMEOUT_MS))) continue;
      const response = await network.request(
        leader.instanceId,
        LEND_KIND,
        {team: team.name, tokens: TOKENS_PER_LOAN},
        LEND_TIMEOUT_MS,
      );
      const loan = response.ok
        ? lendResponseSchema.safeParse(response.val)
        : undefined;
      if (!loan?.success || loan.data.tokens === 0) continue;
      this.buckets.addBorrowed(team, loan.data.tokens);
      return;
    }
    const untilMs = performance.now() + BORROW_PAUSE_MS;
    this.borrowPausedUntilMs.set(team.name, untilMs);
  }

  private handleTake(payload: unknown): Promise<RateDecision> {
    this.assertLeader();
    return this.takeLocally(
      this.requireTeam(takeRequestSchema.parse(payload).team),
    );
  }

  private handleLend(payload: unknown): {tokens: number} {
    this.assertLeader();
    const {team, tokens} = lendRequestSchema.parse(payload);
    return {tokens: this.buckets.lend(this.requireTeam(team), tokens)};
  }

  private handleRefund(payload: unknown): void {
    const {team} = takeRequestSchema.parse(payload);
    if (!this.options.election.isLeader) return;
    this.buckets.refund(this.requireTeam(team));
  }

  private assertLeader(): void {
    if (this.options.election.isLeader) return;
    throw new Error('this instance does not lead a zone');
  }

  private requireTeam(name: string): TeamPolicy {
    const team = this.options.findTeam(name);
    if (!team) throw new Error(`team ${name} is not known to this instance`);
    return team;
  }
}
