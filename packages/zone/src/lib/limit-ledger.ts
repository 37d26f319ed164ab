/**
 * Decides which requests may be sent to servers that named a limit. One instance
 * counts them for all others, per service.
 *
 * While every server of a service is at its limit, the remaining room goes to
 * important requests first, and to teams that have had less than an equal part
 * of it. The others are refused at once, each with another time to return.
 */
import type {
  GrantDecision,
  GrantRequest,
  KnownLimit,
} from '@fireflytrack/upstream';
import {LIMIT_WINDOW_MS, LimitBucket} from './limit-bucket.js';
import type {LimitShare} from './limit-bucket.js';
import {SlidingWindowCounter} from './sliding-window-counter.js';

/**
 * `owner`: counts the service for the fleet. `deputy`: acts for instances that
 * do not reach the owner, which may still grant to others.
 */
export type LedgerRole = 'owner' | 'deputy';

// The shares of an owner, its predecessor and two deputies stay within one and a
// half times the limit and five requests in any window.
// A high limit leaves room for requests that arrive together.
const OWNER_MIN_BURST = 3;
const OWNER_BURST_MS = 100;
const DEPUTY_SHARE: LimitShare = {rateFraction: 0.2, maxTokens: 1};
// A new leader grants less for one window, in which its predecessor may still
// act as leader.
const NEW_OWNER_RATE_FRACTION = 0.5;
// While all servers are at their limits, a fraction of the room is left for more
// important requests, and one for teams that have used less.
const RESERVE_PER_RANK = 0.15;
const MAX_RESERVING_RANK = 3;
const RESERVE_FOR_OTHER_TEAMS = 0.25;
const RESERVE_AFTER_OWN_PART = 0.4;
const TEAM_SLICE_MS = 1000;
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 3000;
// Servers that left are forgotten when there are too many.
const MAX_BUCKETS = 2000;
const MAX_TEAMS = 1000;
const MS_PER_SECOND = 1000;

interface TeamUse {
  granted: SlidingWindowCounter;
  asked: SlidingWindowCounter;
}

interface ServiceUse {
  teams: Map<string, TeamUse>;
  /** Monotonic time of the last request of each rank. */
  askedAtMs: Map<number, number>;
  /** Monotonic time of the next return that was not yet promised. */
  nextReturnAtMs: number;
}

interface Candidate {
  serverId: string;
  bucket: LimitBucket;
  tokens: number;
  maxTokens: number;
  ratePerMs: number;
}

export class LimitLedger {
  private readonly buckets = new Map<string, LimitBucket>();
  private readonly services = new Map<string, ServiceUse>();
  private leaderSinceMs = performance.now();

  static create(): LimitLedger {
    return new LimitLedger();
  }

  /** Starts counting anew when this instance becomes a leader. */
  becomeLeader(): void {
    this.buckets.clear();
    this.services.clear();
    this.leaderSinceMs = performance.now();
  }

  decide(request: GrantRequest, role: LedgerRole): GrantDecision {
    const candidates = request.candidates.map(limit =>
      this.toCandidate(limit, this.shareOf(role, limit)),
    );
    return request.isOnlyChoice
      ? this.decideScarce(request, candidates)
      : this.decidePlain(candidates);
  }

  private shareOf(
    role: LedgerRole,
    {requestsPerSecond}: KnownLimit,
  ): LimitShare {
    if (role === 'deputy') return DEPUTY_SHARE;
    const isNew = performance.now() - this.leaderSinceMs < LIMIT_WINDOW_MS;
    const rateFraction = isNew ? NEW_OWNER_RATE_FRACTION : 1;
    const burst = (requestsPerSecond * OWNER_BURST_MS) / MS_PER_SECOND;
    return {rateFraction, maxTokens: Math.max(OWNER_MIN_BURST, burst)};
  }

  private toCandidate(limit: KnownLimit, share: LimitShare): Candidate {
    const {serverId, startedAtMs, requestsPerSecond} = limit;
    const key = `${serverId}@${startedAtMs}`;
    let bucket = this.buckets.get(key);
    if (!bucket) {
      if (this.buckets.size >= MAX_BUCKETS) this.buckets.clear();
      bucket = LimitBucket.create();
      this.buckets.set(key, bucket);
    }
    const tokens = bucket.refill(requestsPerSecond, share);
    const ratePerMs = (requestsPerSecond * share.rateFraction) / MS_PER_SECOND;
    const {maxTokens} = share;
    return {serverId, bucket, tokens, maxTokens, ratePerMs};
  }

  private decidePlain(candidates: readonly Candidate[]): GrantDecision {
    const candidate = candidates.find(({tokens}) => tokens >= 1);
    if (candidate) {
      candidate.bucket.take();
      return {kind: 'granted', serverId: candidate.serverId};
    }
    const waitsMs = candidates.map(
      ({tokens, ratePerMs}) => (1 - tokens) / ratePerMs,
    );
    return {kind: 'at-limit', retryAfterMs: boundWait(Math.min(...waitsMs))};
  }

  /** Decides a request for which there is no other server. */
  private decideScarce(
    request: GrantRequest,
    candidates: readonly Candidate[],
  ): GrantDecision {
    const service = this.serviceUse(request.service);
    const team = teamUse(service, request.team ?? '');
    team.asked.add();
    const candidate = candidates.find(({tokens}) => tokens >= 1);
    const room = candidates.reduce(
      (sum, {tokens}) => sum + Math.floor(tokens),
      0,
    );
    const maxRoom = candidates.reduce((sum, item) => sum + item.maxTokens, 0);
    const reserve =
      reserveForRanks(service, request.rank) + reserveForTeams(service, team);
    const neededRoom = 1 + Math.max(0, maxRoom - 1) * reserve;
    if (candidate && room >= neededRoom) {
      candidate.bucket.take();
      team.granted.add();
      return {kind: 'granted', serverId: candidate.serverId};
    }
    const ratePerMs = candidates.reduce((sum, item) => sum + item.ratePerMs, 0);
    const missing = Math.max(0, neededRoom - room);
    return promiseReturn(service, missing, ratePerMs);
  }

  private serviceUse(name: string): ServiceUse {
    let service = this.services.get(name);
    if (!service) {
      service = {teams: new Map(), askedAtMs: new Map(), nextReturnAtMs: 0};
      this.services.set(name, service);
    }
    return service;
  }
}

/** Fraction of the room that is left for more important requests. */
function reserveForRanks({askedAtMs}: ServiceUse, rank: number): number {
  const nowMs = performance.now();
  askedAtMs.set(rank, nowMs);
  let mostImportant = rank;
  for (const [other, atMs] of askedAtMs) {
    if (nowMs - atMs >= LIMIT_WINDOW_MS) askedAtMs.delete(other);
    else mostImportant = Math.min(mostImportant, other);
  }
  const distance = Math.min(rank - mostImportant, MAX_RESERVING_RANK);
  return distance * RESERVE_PER_RANK;
}

function teamUse(service: ServiceUse, name: string): TeamUse {
  let team = service.teams.get(name);
  if (!team) {
    if (service.teams.size >= MAX_TEAMS) service.teams.clear();
    const slices = LIMIT_WINDOW_MS / TEAM_SLICE_MS;
    team = {
      granted: SlidingWindowCounter.create(TEAM_SLICE_MS, slices),
      asked: SlidingWindowCounter.create(TEAM_SLICE_MS, slices),
    };
    service.teams.set(name, team);
  }
  return team;
}

/**
 * Fraction of the room that a team leaves to others, if it asks for more than
 * its part of what was granted in the last window. Teams that ask for less than
 * an equal part leave the rest of theirs to the others.
 */
function reserveForTeams(service: ServiceUse, team: TeamUse): number {
  const asked: number[] = [];
  let remaining = 0;
  for (const [name, other] of service.teams) {
    const askedByOther = other.asked.sum();
    if (askedByOther === 0) service.teams.delete(name);
    else asked.push(askedByOther);
    remaining += other.granted.sum();
  }
  if (asked.length === 1) return 0;
  asked.sort((a, b) => a - b);
  for (const [index, wanted] of asked.entries()) {
    const equalPart = remaining / (asked.length - index);
    if (wanted < equalPart) {
      remaining -= wanted;
      continue;
    }
    if (team.asked.sum() < equalPart) return 0;
    return team.granted.sum() > equalPart
      ? RESERVE_AFTER_OWN_PART
      : RESERVE_FOR_OTHER_TEAMS;
  }
  return 0;
}

/**
 * Refuses with the time at which there will be room. Requests that are refused
 * in a row get successive times, at the pace at which the servers accept them.
 */
function promiseReturn(
  service: ServiceUse,
  missing: number,
  ratePerMs: number,
): GrantDecision {
  const nowMs = performance.now();
  const roomAtMs = nowMs + missing / ratePerMs;
  const returnAtMs = Math.max(roomAtMs, service.nextReturnAtMs);
  const latestMs = nowMs + MAX_RETRY_AFTER_MS;
  service.nextReturnAtMs = Math.min(returnAtMs + 1 / ratePerMs, latestMs);
  return {kind: 'at-limit', retryAfterMs: boundWait(returnAtMs - nowMs)};
}

function boundWait(waitMs: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
}
