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
import {FleetBroadcast} from './fleet-broadcast.js';
import type {FleetBroadcastOptions} from './fleet-broadcast.js';
import type {Leader} from './leader-row.js';
import {IsolatedGrants} from './isolated-grants.js';
import {LIMIT_WINDOW_MS} from './limit-bucket.js';
import {LimitLedger} from './limit-ledger.js';
import {
  CHANGE_KIND,
  SYNC_KIND,
  TAKE_KIND,
  changeSchema,
  syncSchema,
  takeRequestSchema,
  takeResponseSchema,
} from './limit-messages.js';
import type {LimitChange, LimitMessage, TakeRequest} from './limit-messages.js';
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
// A leader of a zone is replaced within about a second. An owner that cannot be
// reached for a whole window has a deputy.
const DEPUTY_AFTER_MS = LIMIT_WINDOW_MS;
// An owner with a deputy is tried again after this time.
const OWNER_RETRY_MS = 1000;
// A leader forwards an unchanged limit at most this often.
const MIN_FORWARD_INTERVAL_MS = 1000;
const MAX_SYNCED_LIMITS = 500;

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
  private readonly isolated: IsolatedGrants;

  private constructor(private readonly options: ZoneLimitGrantsOptions) {
    this.isolated = IsolatedGrants.create(() => options.instances());
  }

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
    if (!decision) return this.isolated.decide(request);
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

  private listLimits(): LimitMessage[] {
    return this.options.limits.list().slice(0, MAX_SYNCED_LIMITS);
  }

  /** Learns limits that are not known; what is known may be more recent. */
  private learnAll(learned: readonly LimitMessage[]): void {
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
