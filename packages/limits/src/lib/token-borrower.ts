/**
 * Borrows tokens from the peers that seem to hold the most, for requests that
 * wait and ahead of the demand of the next moments.
 */
import type {Membership} from '@fireflytrack/membership';
import type {Logger, Metrics} from '@fireflytrack/telemetry';
import type {PeerNetwork} from '@fireflytrack/wire';
import {
  BORROW_KIND,
  RETURN_KIND,
  borrowResponseSchema,
} from './limit-messages.js';
import type {BorrowRequest, ReturnedLot} from './limit-messages.js';
import {MICRO_PER_TOKEN, lifetimeMs, microPerMs} from './micro-tokens.js';
import type {BorrowedLot} from './borrowed-lots.js';
import {planBorrows} from './borrow-plan.js';
import type {PlannedBorrow, LenderCandidate} from './borrow-plan.js';
import type {TeamAccount} from './team-account.js';

export interface TokenBorrowerOptions {
  network: PeerNetwork;
  membership: Membership;
  logger: Logger;
  metrics: Metrics;
  usableParts(): number;
  random(): number;
}

// A response later than this is of no use to a waiting request (60 ms), but may
// still serve the demand that follows.
const BORROW_TIMEOUT_MS = 100;
// Borrowed ahead: the demand until the next ticks and a round trip later.
const BORROW_AHEAD_MS = 80;
// Borrows ahead once less than this fraction is left, to save messages; it
// still covers a tick and a round trip between regions (36 of 80 ms).
const REFILL_THRESHOLD_FRACTION = 0.6;
// Smaller estimates are growth since the last reported level, not worth a
// message.
const MIN_BORROW_MICRO = 2000;
const PROBE_INTERVAL_MS = 100;
// Requests that wait although no peer seems to hold tokens for them; without
// these a wrong estimate would not be noticed.
const PROBING_REQUESTS = 2;
// Unspent tokens are returned when this fraction of their lifetime is left, so
// that they arrive before the lender drops them.
const RETURN_FRACTION = 0.35;

// Borrowed tokens beyond this multiple of the upcoming demand are returned at
// once, so that their owners may serve other instances.
const KEPT_DEMAND_FACTOR = 1.5;

export class TokenBorrower {
  private nextLotNumber = 1;

  private constructor(private readonly options: TokenBorrowerOptions) {}

  static create(options: TokenBorrowerOptions): TokenBorrower {
    return new TokenBorrower(options);
  }

  /** Whether one more request may expect a token within its wait. */
  isWorthWaiting(account: TeamAccount): boolean {
    const count = account.waitingCount + 1;
    if (count <= PROBING_REQUESTS) return true;
    const nowMs = performance.now();
    const needed = count * MICRO_PER_TOKEN;
    let expected = account.availableMicro(nowMs) + account.requestedMicro;
    if (expected >= needed) return true;
    for (const candidate of this.findCandidates(account, nowMs)) {
      expected += candidate.estimateMicro;
    }
    return expected >= needed;
  }

  /** Borrows what waiting requests and the upcoming demand need. */
  borrow(account: TeamAccount): void {
    const nowMs = performance.now();
    const missing = this.missingMicro(account, nowMs);
    if (missing <= 0) return;
    const candidates = this.findCandidates(account, nowMs);
    if (!this.isPromising(account, candidates, nowMs)) return;
    if (!account.pace.tryStart(nowMs)) return;
    for (const ask of planBorrows(candidates, missing, this.options.random)) {
      void this.requestTokens(account, ask);
    }
  }

  /** Returns unspent tokens before their lifetime ends. */
  returnUnspent(account: TeamAccount): void {
    if (account.waitingCount > 0) return;
    const nowMs = performance.now();
    const leftMs = lifetimeMs(account.rate) * RETURN_FRACTION;
    const kept = this.upcomingDemandMicro(account) * KEPT_DEMAND_FACTOR;
    const {lots} = account;
    const unspent = lots.removeExpiringBy(nowMs + leftMs);
    unspent.push(...lots.removeSurplus(lots.levelMicro(nowMs) - kept));
    for (const lot of unspent) this.returnLot(account, lot);
  }

  /** Notifies the lenders of fractional lots that these are spent. */
  reportSpent(account: TeamAccount): void {
    for (const lot of account.lots.drainSpentLots())
      this.returnLot(account, lot);
  }

  private returnLot(account: TeamAccount, lot: BorrowedLot): void {
    const {lotId, lenderId} = lot;
    const amountMicro = Math.floor(lot.amountMicro);
    const returned: ReturnedLot = {
      teamName: account.teamName,
      lotId,
      amountMicro,
    };
    this.options.network.send(lenderId, RETURN_KIND, returned);
  }

  /**
   * Whether the peers seem to hold a token for a waiting request. If not, they
   * are queried only occasionally, in case the levels known here are too low.
   */
  private isPromising(
    account: TeamAccount,
    candidates: readonly LenderCandidate[],
    nowMs: number,
  ): boolean {
    let expected = account.availableMicro(nowMs) + account.requestedMicro;
    for (const {estimateMicro} of candidates) expected += estimateMicro;
    if (expected >= MICRO_PER_TOKEN) return true;
    if (nowMs - account.probedAtMs < PROBE_INTERVAL_MS) return false;
    account.probedAtMs = nowMs;
    return true;
  }

  private missingMicro(account: TeamAccount, nowMs: number): number {
    const waiting = account.waitingCount * MICRO_PER_TOKEN;
    const ahead = this.upcomingDemandMicro(account);
    const covered = account.availableMicro(nowMs) + account.requestedMicro;
    if (waiting === 0 && covered > ahead * REFILL_THRESHOLD_FRACTION) return 0;
    return waiting * account.overrequestFactor() + ahead - covered;
  }

  /** Tokens that the next moments take beyond what the own share earns. */
  private upcomingDemandMicro(account: TeamAccount): number {
    const {rate, demand} = account;
    const perSecond = Math.min(demand.perSecond(), rate.ratePerSecond);
    const ahead = (perSecond * BORROW_AHEAD_MS * MICRO_PER_TOKEN) / 1000;
    // Less than a token serves no request; a request that comes asks itself.
    if (ahead < MICRO_PER_TOKEN) return 0;
    const own = microPerMs(rate, this.options.usableParts()) * BORROW_AHEAD_MS;
    return Math.max(0, ahead - own);
  }

  private findCandidates(
    account: TeamAccount,
    nowMs: number,
  ): LenderCandidate[] {
    const {membership, network} = this.options;
    const found: LenderCandidate[] = [];
    for (const {identity, reachable, leaving} of membership.others()) {
      if (!reachable || leaving) continue;
      const peerId = identity.instanceId;
      const {peerLevels, rate} = account;
      const estimateMicro = peerLevels.estimateMicro(peerId, rate, nowMs);
      if (estimateMicro < MIN_BORROW_MICRO) continue;
      const capacityMicro = peerLevels.capacityMicro(peerId, rate);
      const remote = identity.region !== network.self.region;
      found.push({peerId, estimateMicro, capacityMicro, remote});
    }
    return found;
  }

  private async requestTokens(
    account: TeamAccount,
    {peerId, wantedMicro}: PlannedBorrow,
  ): Promise<void> {
    const lotId = String(this.nextLotNumber++);
    const lifetime = lifetimeMs(account.rate);
    const request: BorrowRequest = {
      teamName: account.teamName,
      lotId,
      wantedMicro,
      lifetimeMs: lifetime,
    };
    account.peerLevels.subtractRequested(peerId, wantedMicro, account.rate);
    account.requestedMicro += wantedMicro;
    // The lifetime counts from before the request leaves, so it ends before
    // the lender's, which counts from the subtraction.
    const expiresAtMs = performance.now() + lifetime;
    const result = await this.options.network.request(
      peerId,
      BORROW_KIND,
      request,
      BORROW_TIMEOUT_MS,
    );
    account.requestedMicro -= wantedMicro;
    const answer = result.ok
      ? borrowResponseSchema.safeParse(result.val)
      : undefined;
    if (!answer?.success || answer.data.grantedMicro > wantedMicro) {
      account.peerLevels.avoid(peerId);
      this.options.metrics.count('limits.borrow_failed');
    } else {
      const {grantedMicro, lendableMicro} = answer.data;
      account.peerLevels.recordLevel(peerId, lendableMicro);
      account.pace.recordGrant(grantedMicro, wantedMicro);
      if (grantedMicro < wantedMicro) account.partialGrants += 1;
      const lot = {
        lotId,
        lenderId: peerId,
        amountMicro: grantedMicro,
        grantedMicro,
        expiresAtMs,
      };
      account.addBorrowed(lot);
    }
    if (account.waitingCount > 0) this.borrow(account);
  }
}
