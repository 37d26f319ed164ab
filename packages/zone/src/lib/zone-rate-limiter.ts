/**
 * Admission by the rate of a team, pooled in each availability zone.
 *
 * The leading instance of the zone holds the zone's part of each rate and
 * grants the requests of the others; a leader that runs out borrows from those
 * of other zones. An instance that cannot reach its leader asks the leaders of
 * other zones, and refuses when it reaches none: it could not know what the
 * others admit.
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
  /** The team's policy in force. */
  teamOf(name: string): TeamPolicy | undefined;
}

const TAKE = 'rate.take';
const LEND = 'rate.lend';
const GIVE_BACK = 'rate.give-back';

// An answer within a zone takes under a millisecond; a slow leader must not
// hold a request up for much longer than a far one.
const TAKE_TIMEOUT_MS = 150;
// A round trip between regions takes some 20 ms.
const LEND_TIMEOUT_MS = 80;
// Opening a connection to another region and proving the fleet's secret takes
// three round trips.
const CONNECT_WAIT_MS = 150;
const LEND_TOKENS = 4;
// After no other zone had anything, none is asked for this long.
const EMPTY_PAUSE_MS = 1000;
// A request may wait this long for a leader that is being elected: an eighth
// of the shortest latency objective.
export const LEADER_WAIT_MS = 120;
const NO_LEADER_RETRY_MS = 300;

const takeSchema = z.object({team: z.string()});
const takenSchema = z.discriminatedUnion('admitted', [
  z.object({admitted: z.literal(true)}),
  z.object({
    admitted: z.literal(false),
    reason: z.enum(['over-rate', 'no-leader']),
    retryAfterMs: z.number(),
  }),
]);
const lendSchema = z.object({team: z.string(), tokens: z.number()});
const lentSchema = z.object({tokens: z.number().nonnegative()});

/** The refusal while no leader is reached. */
export function noLeader(): RateDecision {
  const retryAfterMs = NO_LEADER_RETRY_MS;
  return {admitted: false, reason: 'no-leader', retryAfterMs};
}

export class ZoneRateLimiter implements RateLimiter {
  private readonly buckets: ZoneBuckets;
  private readonly borrowing = new Map<string, Promise<void>>();
  private readonly emptyUntilMs = new Map<string, number>();

  private constructor(private readonly options: ZoneRateLimiterOptions) {
    const {bounds, election, network} = options;
    this.buckets = ZoneBuckets.create(bounds, () => election.zoneCount);
    network.onRequest(TAKE, (_from, payload) => this.onTake(payload));
    network.onRequest(LEND, (_from, payload) => this.onLend(payload));
    network.onMessage(GIVE_BACK, (_from, payload) => this.onGiveBack(payload));
  }

  static create(options: ZoneRateLimiterOptions): ZoneRateLimiter {
    return new ZoneRateLimiter(options);
  }

  /** This instance begins to lead its zone, which nobody led for a while. */
  beginLead(vacantSinceMs: number): void {
    this.buckets.clear(vacantSinceMs);
  }

  async admit(team: TeamPolicy): Promise<RateDecision> {
    if (team.ratePerSecond === 0) return {admitted: true};
    const {election} = this.options;
    await election.waitForLeader(LEADER_WAIT_MS);
    if (election.isLeader) return this.takeHere(team);
    const near = election.reachableLeader;
    const decision = near && (await this.takeAt(near, team));
    if (decision) return decision;
    for (const leader of election.otherLeaders) {
      const far = await this.takeAt(leader, team);
      if (far) return far;
    }
    return noLeader();
  }

  giveBack(team: TeamPolicy): void {
    if (team.ratePerSecond === 0) return;
    const {election, network} = this.options;
    if (election.isLeader) {
      this.buckets.add(team, 1);
      return;
    }
    const leader = election.reachableLeader;
    if (!leader) return;
    network.send(leader.instanceId, GIVE_BACK, {team: team.name});
  }

  private async takeAt(
    leader: Leader,
    team: TeamPolicy,
  ): Promise<RateDecision | undefined> {
    const {network, election} = this.options;
    if (!(await election.connect(leader, CONNECT_WAIT_MS))) return undefined;
    const answer = await network.request(
      leader.instanceId,
      TAKE,
      {team: team.name},
      TAKE_TIMEOUT_MS,
    );
    if (answer.err) return undefined;
    const taken = takenSchema.safeParse(answer.val);
    return taken.success ? taken.data : undefined;
  }

  private async takeHere(team: TeamPolicy): Promise<RateDecision> {
    if (this.buckets.tryTake(team)) return {admitted: true};
    await this.borrow(team);
    if (this.buckets.tryTake(team)) return {admitted: true};
    const retryAfterMs = this.buckets.waitMs(team);
    return {admitted: false, reason: 'over-rate', retryAfterMs};
  }

  /** Asks the leaders of other zones in turn, once at a time for each team. */
  private borrow(team: TeamPolicy): Promise<void> {
    const emptyUntilMs = this.emptyUntilMs.get(team.name) ?? 0;
    if (performance.now() < emptyUntilMs) return Promise.resolve();
    let running = this.borrowing.get(team.name);
    if (!running) {
      running = this.borrowOnce(team).finally(() =>
        this.borrowing.delete(team.name),
      );
      this.borrowing.set(team.name, running);
    }
    return running;
  }

  private async borrowOnce(team: TeamPolicy): Promise<void> {
    const {network, election} = this.options;
    for (const leader of election.otherLeaders) {
      if (!(await election.connect(leader, CONNECT_WAIT_MS))) continue;
      const answer = await network.request(
        leader.instanceId,
        LEND,
        {team: team.name, tokens: LEND_TOKENS},
        LEND_TIMEOUT_MS,
      );
      const lent = answer.ok ? lentSchema.safeParse(answer.val) : undefined;
      if (!lent?.success || lent.data.tokens === 0) continue;
      this.buckets.add(team, lent.data.tokens);
      return;
    }
    const untilMs = performance.now() + EMPTY_PAUSE_MS;
    this.emptyUntilMs.set(team.name, untilMs);
  }

  private onTake(payload: unknown): Promise<RateDecision> {
    this.requireLead();
    return this.takeHere(this.teamNamed(takeSchema.parse(payload).team));
  }

  private onLend(payload: unknown): {tokens: number} {
    this.requireLead();
    const {team, tokens} = lendSchema.parse(payload);
    return {tokens: this.buckets.lend(this.teamNamed(team), tokens)};
  }

  private onGiveBack(payload: unknown): void {
    const {team} = takeSchema.parse(payload);
    if (!this.options.election.isLeader) return;
    this.buckets.add(this.teamNamed(team), 1);
  }

  private requireLead(): void {
    if (this.options.election.isLeader) return;
    throw new Error('this instance does not lead a zone');
  }

  private teamNamed(name: string): TeamPolicy {
    const team = this.options.teamOf(name);
    if (!team) throw new Error(`team ${name} is not known here`);
    return team;
  }
}
