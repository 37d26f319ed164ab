/**
 * Keeps the limits that backend servers name, for the whole fleet.
 *
 * One zone leader, the owner, grants the requests to the limited servers of a
 * service; all instances derive it from the service's name. An instance sends
 * its requests for grants to the leader of its zone, which forwards them to the
 * owner. While no server names a limit, nothing is sent.
 *
 * Every instance knows every limit: what a response changes is distributed to
 * all, and an instance that starts to follow a leader exchanges its limits with
 * it. A limit that was learned from others needs no expiry: the response to the
 * next granted request shows whether it still holds.
 */
import {rankByRendezvous} from '@fireflytrack/membership/rendezvous';
import {elapsedSince, readClocks} from '@fireflytrack/time';
import type {
  GrantDecision,
  GrantRequest,
  KnownLimits,
  LimitGrants,
  ServerRun,
} from '@fireflytrack/upstream';
import type {PeerNetwork} from '@fireflytrack/wire';
import {z} from 'zod';
import {FleetBroadcast, scopeSchema} from './fleet-broadcast.js';
import type {FleetBroadcastOptions} from './fleet-broadcast.js';
import type {Leader} from './leader-row.js';
import {LIMIT_WINDOW_MS} from './limit-bucket.js';
import {LimitLedger} from './limit-ledger.js';
import {SlidingWindowCounter} from './sliding-window-counter.js';
import type {ZoneElection} from './zone-election.js';

export interface LimitElection {
  isLeader: FleetBroadcastOptions['election']['isLeader'];
  reachableLeader: Leader | undefined;
  otherLeaders: Leader[];
  connect: ZoneElection['connect'];
}

export interface ZoneLimitGrantsOptions {
  limits: KnownLimits;
  /** Upper estimate of the running instances. */
  instances(): number;
}

export interface LimitAccess {
  network: PeerNetwork;
  election: LimitElection;
}

const CHANGE_KIND = 'limit.change';
const SYNC_KIND = 'limit.sync';
const TAKE_KIND = 'limit.take';

// A leader of another region responds within some 20 ms; a new connection to it
// takes three round trips.
const FORWARD_TIMEOUT_MS = 100;
const CONNECT_TIMEOUT_MS = 100;
const TAKE_TIMEOUT_MS = CONNECT_TIMEOUT_MS + FORWARD_TIMEOUT_MS + 50;
const SYNC_TIMEOUT_MS = 500;
// Leaders of other zones that an instance without a leader asks.
const MAX_LEADERS_ASKED = 2;
// A grant that was under way for longer is not used, since the instance may have
// been suspended: a late request falls into a window that it was not counted in.
const GRANT_LIFETIME_MS = 500;
const LATE_RETRY_AFTER_MS = 50;
// After nobody granted or denied a request for a service, nobody is asked on its
// behalf for this long.
const ASK_PAUSE_MS = 1000;
const UNREACHABLE_RETRY_AFTER_MS = 1000;
// A leader of a zone is replaced within about a second. An owner that cannot be
// reached for a whole window has a deputy.
const DEPUTY_AFTER_MS = LIMIT_WINDOW_MS;
// An owner with a deputy is tried again after this time.
const OWNER_RETRY_MS = 1000;
// An instance that reaches nobody may use its part of this fraction of a limit,
// in whole requests.
const ISOLATED_FRACTION = 0.25;
const ISOLATED_SLICES = 10;
// A leader forwards an unchanged limit at most this often.
const MIN_FORWARD_INTERVAL_MS = 1000;
const MAX_SYNCED_LIMITS = 500;
const MAX_CANDIDATES = 64;
const MS_PER_SECOND = 1000;

const serverRunSchema = z.object({
  serverId: z.string(),
  service: z.string(),
  startedAtMs: z.number(),
});
const limitSchema = serverRunSchema.extend({
  requestsPerSecond: z.number().positive(),
});
const changeSchema = serverRunSchema.extend({
  /** Absent if the limit has ended. */
  requestsPerSecond: z.number().positive().optional(),
  scope: scopeSchema,
});
type LimitChange = z.infer<typeof changeSchema>;
const syncSchema = z.object({limits: z.array(limitSchema)});
const takeRequestSchema = z.object({
  service: z.string(),
  team: z.string().optional(),
  rank: z.number(),
  candidates: z.array(limitSchema).min(1).max(MAX_CANDIDATES),
  isOnlyChoice: z.boolean(),
  /** Whether a leader forwarded the request; it is not forwarded again. */
  forwarded: z.boolean(),
});
type TakeRequest = z.infer<typeof takeRequestSchema>;
const takeResponseSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('granted'), serverId: z.string()}),
  z.object({kind: z.literal('at-limit'), retryAfterMs: z.number()}),
]);

/** An owner that could not be reached, by monotonic times. */
interface Outage {
  sinceMs: number;
  retryAtMs: number;
}

export class ZoneLimitGrants implements LimitGrants {
  private readonly ledger = LimitLedger.create();
  private access: LimitAccess | undefined;
  private broadcast: FleetBroadcast | undefined;
  /** Until when nobody is asked, by service. */
  private readonly pausedUntilMs = new Map<string, number>();
  /** Leaders that could not be reached, by zone. */
  private readonly outages = new Map<string, Outage>();
  private readonly forwardedAtMs = new Map<string, number>();
  private readonly isolatedUse = new Map<string, SlidingWindowCounter>();

  private constructor(private readonly options: ZoneLimitGrantsOptions) {}

  static create(options: ZoneLimitGrantsOptions): ZoneLimitGrants {
    return new ZoneLimitGrants(options);
  }

  /** Starts the exchange with other instances. */
  join(access: LimitAccess): void {
    const {network, election} = access;
    this.access = access;
    const kind = CHANGE_KIND;
    this.broadcast = FleetBroadcast.create({network, election, kind});
    network.onMessage(CHANGE_KIND, (from, payload) =>
      this.receiveChange(from.instanceId, changeSchema.parse(payload)),
    );
    network.onRequest(SYNC_KIND, (_from, payload) => {
      const known = this.listLimits();
      this.learnAll(syncSchema.parse(payload).limits);
      return {limits: known};
    });
    network.onRequest(TAKE_KIND, async (_from, payload) => {
      if (!election.isLeader) throw new Error('does not lead a zone');
      const request = takeRequestSchema.parse(payload);
      const decision = request.forwarded
        ? this.decide(request)
        : await this.findDecision(request);
      if (!decision) throw new Error('the owner is not reached');
      return decision;
    });
  }

  /** Starts counting when this instance becomes the leader of its zone. */
  becomeLeader(): void {
    this.ledger.becomeLeader();
    const [other] = this.access?.election.otherLeaders ?? [];
    if (other) void this.synchronize(other);
  }

  /** Exchanges the known limits with a leader that this instance follows. */
  followLeader(leader: Leader): void {
    this.pausedUntilMs.clear();
    void this.synchronize(leader);
  }

  async requestGrant(request: GrantRequest): Promise<GrantDecision> {
    const startedAt = readClocks();
    const decision = await this.ask({
      ...request,
      team: request.team,
      forwarded: false,
    });
    if (!decision) return this.decideAlone(request);
    const isLate = elapsedSince(startedAt) > GRANT_LIFETIME_MS;
    return decision.kind === 'granted' && isLate
      ? {kind: 'at-limit', retryAfterMs: LATE_RETRY_AFTER_MS}
      : decision;
  }

  announce(
    server: ServerRun & {service: string},
    requestsPerSecond: number | undefined,
  ): void {
    if (!this.access || !this.broadcast) return;
    const {network, election} = this.access;
    const {serverId, service, startedAtMs} = server;
    const limit = requestsPerSecond === undefined ? {} : {requestsPerSecond};
    const change = {serverId, service, startedAtMs, ...limit};
    const message: LimitChange = {...change, scope: 'fleet'};
    if (election.isLeader) this.forward(message, network.self.instanceId, true);
    else this.broadcast.sendToLeader(message);
  }

  /** Returns undefined if nobody decides. */
  private async ask(request: TakeRequest): Promise<GrantDecision | undefined> {
    if (!this.access) return undefined;
    const {election} = this.access;
    const {service} = request;
    const pausedUntilMs = this.pausedUntilMs.get(service) ?? 0;
    if (performance.now() < pausedUntilMs) return undefined;
    const decision = election.isLeader
      ? await this.findDecision(request)
      : await this.askLeaders(request);
    if (!decision) {
      this.pausedUntilMs.set(service, performance.now() + ASK_PAUSE_MS);
    }
    return decision;
  }

  private async askLeaders(
    request: TakeRequest,
  ): Promise<GrantDecision | undefined> {
    const {election} = this.access!;
    const own = election.reachableLeader;
    if (own) return this.take(own, request, TAKE_TIMEOUT_MS);
    for (const leader of election.otherLeaders.slice(0, MAX_LEADERS_ASKED)) {
      if (!(await election.connect(leader, CONNECT_TIMEOUT_MS))) continue;
      const decision = await this.take(leader, request, TAKE_TIMEOUT_MS);
      if (decision) return decision;
    }
    return undefined;
  }

  /** As a leader: decides, or asks the owner or a deputy to decide. */
  private async findDecision(
    request: TakeRequest,
  ): Promise<GrantDecision | undefined> {
    const {election, network} = this.access!;
    const leaders = new Map(
      election.otherLeaders.map(leader => [leader.availabilityZone, leader]),
    );
    for (const zone of this.rankZones(request.service)) {
      if (zone === network.self.availabilityZone) return this.decide(request);
      const outage = this.outages.get(zone);
      if (outage && performance.now() < outage.retryAtMs) {
        if (!hasDeputy(outage)) return undefined;
        continue;
      }
      const decision = await this.forwardTo(leaders.get(zone)!, request);
      if (decision) {
        this.outages.delete(zone);
        return decision;
      }
      if (!hasDeputy(this.recordOutage(zone))) return undefined;
    }
    return undefined;
  }

  private recordOutage(zone: string): Outage {
    const nowMs = performance.now();
    const sinceMs = this.outages.get(zone)?.sinceMs ?? nowMs;
    const outage = {sinceMs, retryAtMs: nowMs + OWNER_RETRY_MS};
    this.outages.set(zone, outage);
    return outage;
  }

  private async forwardTo(
    leader: Leader,
    request: TakeRequest,
  ): Promise<GrantDecision | undefined> {
    const {election} = this.access!;
    if (!(await election.connect(leader, CONNECT_TIMEOUT_MS))) return undefined;
    const forwarded = {...request, forwarded: true};
    return this.take(leader, forwarded, FORWARD_TIMEOUT_MS);
  }

  private async take(
    leader: Leader,
    request: TakeRequest,
    timeoutMs: number,
  ): Promise<GrantDecision | undefined> {
    const {network} = this.access!;
    const response = await network.request(
      leader.instanceId,
      TAKE_KIND,
      request,
      timeoutMs,
    );
    const parsed = takeResponseSchema.safeParse(
      response.ok ? response.val : undefined,
    );
    return parsed.success ? parsed.data : undefined;
  }

  private decide(request: TakeRequest): GrantDecision {
    const {limits} = this.options;
    const {availabilityZone} = this.access!.network.self;
    const [ownerZone] = this.rankZones(request.service);
    const role = ownerZone === availabilityZone ? 'owner' : 'deputy';
    const candidates = request.candidates.map(
      candidate => limits.find(candidate) ?? candidate,
    );
    const {service, team, rank, isOnlyChoice} = request;
    const demand = {service, team, rank, candidates, isOnlyChoice};
    return this.ledger.decide(demand, role);
  }

  /** Zones in the order in which their leaders count the service. */
  private rankZones(service: string): string[] {
    const {election, network} = this.access!;
    const zones = election.otherLeaders.map(
      ({availabilityZone}) => availabilityZone,
    );
    const own = network.self.availabilityZone;
    return rankByRendezvous(service, [...new Set([...zones, own])]);
  }

  /**
   * Decides without any leader: whole requests of this instance's part of a
   * fraction of the limit. It is 0 for limits that are low for the fleet's size.
   */
  private decideAlone({candidates}: GrantRequest): GrantDecision {
    const instances = this.options.instances();
    for (const candidate of candidates) {
      const key = toKey(candidate);
      const inWindow =
        (candidate.requestsPerSecond * LIMIT_WINDOW_MS) / MS_PER_SECOND;
      const part = Math.floor((inWindow * ISOLATED_FRACTION) / instances);
      if (part === 0) continue;
      let use = this.isolatedUse.get(key);
      if (!use) {
        const sliceMs = LIMIT_WINDOW_MS / ISOLATED_SLICES;
        use = SlidingWindowCounter.create(sliceMs, ISOLATED_SLICES + 1);
        if (this.isolatedUse.size >= MAX_SYNCED_LIMITS)
          this.isolatedUse.clear();
        this.isolatedUse.set(key, use);
      }
      if (use.sum() >= part) continue;
      use.add();
      return {kind: 'granted', serverId: candidate.serverId};
    }
    return {kind: 'unreachable', retryAfterMs: UNREACHABLE_RETRY_AFTER_MS};
  }

  private receiveChange(sender: string, change: LimitChange): void {
    const {limits} = this.options;
    const {serverId, service, startedAtMs, requestsPerSecond} = change;
    const run = {serverId, service, startedAtMs};
    const isNews =
      requestsPerSecond === undefined
        ? limits.end(run)
        : limits.learn({...run, requestsPerSecond}, 'peer');
    if (this.access!.election.isLeader) this.forward(change, sender, isNews);
  }

  /** Forwards a change as a leader; repeats of known limits are infrequent. */
  private forward(change: LimitChange, sender: string, isNews: boolean): void {
    const key = toKey(change);
    const nowMs = performance.now();
    const lastMs = this.forwardedAtMs.get(key) ?? -Infinity;
    if (!isNews && nowMs - lastMs < MIN_FORWARD_INTERVAL_MS) return;
    if (this.forwardedAtMs.size >= MAX_SYNCED_LIMITS)
      this.forwardedAtMs.clear();
    this.forwardedAtMs.set(key, nowMs);
    this.broadcast!.forward(change, sender, change.scope);
  }

  private async synchronize(leader: Leader): Promise<void> {
    const {network, election} = this.access!;
    if (!(await election.connect(leader, CONNECT_TIMEOUT_MS))) return;
    const response = await network.request(
      leader.instanceId,
      SYNC_KIND,
      {limits: this.listLimits()},
      SYNC_TIMEOUT_MS,
    );
    // Without a response the limits are learned from the servers.
    const synced = syncSchema.safeParse(response.ok ? response.val : undefined);
    if (synced.success) this.learnAll(synced.data.limits);
  }

  private listLimits(): z.infer<typeof limitSchema>[] {
    return this.options.limits.list().slice(0, MAX_SYNCED_LIMITS);
  }

  /** Learns limits that are not known; what is known may be more recent. */
  private learnAll(learned: readonly z.infer<typeof limitSchema>[]): void {
    const {limits} = this.options;
    for (const limit of learned) {
      if (!limits.find(limit)) limits.learn(limit, 'peer');
    }
  }
}

function hasDeputy({sinceMs}: Outage): boolean {
  return performance.now() - sinceMs >= DEPUTY_AFTER_MS;
}

function toKey({serverId, startedAtMs}: ServerRun): string {
  return `${serverId}@${startedAtMs}`;
}
