/**
 * Borrows tokens from the peers that are estimated to hold the most, for
 * waiting requests and in advance for the expected demand.
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
import {
  MICRO_PER_TOKEN,
  computeLotLifetimeMs,
  computeMicroPerMs,
} from './micro-tokens.js';
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

// Longer than a request waits for tokens (60 ms): a response that is too late
// for the waiting request may still cover later ones.
const BORROW_TIMEOUT_MS = 100;
// Tokens are borrowed in advance for the demand of this period, which covers
// the next ticks and a round trip.
const BORROW_AHEAD_MS = 80;
// To save messages, tokens are borrowed in advance only when less than this
// fraction of that demand is covered. The remainder still covers a tick and a
// round trip between regions (36 of 80 ms).
const REFILL_THRESHOLD_FRACTION = 0.6;
// Smaller estimates are only refill since the last reported level, which is not
// worth a message.
const MIN_BORROW_MICRO = 2000;
const PROBE_INTERVAL_MS = 100;
// Requests that may wait although no peer is estimated to hold tokens for them.
// Without such requests a wrong estimate would not be noticed.
const PROBING_REQUESTS = 2;
// Unspent tokens are returned when this fraction of their lifetime is left, so
// that they reach the lender before it treats them as expired.
const RETURN_FRACTION = 0.35;

// Borrowed tokens beyond this multiple of the upcoming demand are returned
// immediately, so that the lenders can lend them to other instances.
const KEPT_DEMAND_FACTOR = 1.5;

export class TokenBorrower {
  private nextLotNumber = 1;

  private constructor(private readonly options: TokenBorrowerOptions) {}

  static create(options: TokenBorrowerOptions): TokenBorrower {
    return new TokenBorrower(options);
  }

  /**
   * Whether one more waiting request can expect a token before its deadline.
   */
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

  /** Borrows the tokens that waiting requests and the upcoming demand need. */
  borrow(account: TeamAccount): void {
    const nowMs = performance.now();
    const missing = this.computeMissingMicro(account, nowMs);
    if (missing <= 0) return;
    const candidates = this.findCandidates(account, nowMs);
    if (!this.shouldQueryPeers(account, candidates, nowMs)) return;
    if (!account.borrowPace.tryStart(nowMs)) return;
    for (const planned of planBorrows(
      candidates,
      missing,
      this.options.random,
    )) {
      void this.requestTokens(account, planned);
    }
  }

  /** Returns surplus tokens, and unspent ones shortly before they expire. */
  returnUnspentLots(account: TeamAccount): void {
    if (account.waitingCount > 0) return;
    const nowMs = performance.now();
    const leftMs = computeLotLifetimeMs(account.rate) * RETURN_FRACTION;
    const kept = this.computeUpcomingDemandMicro(account) * KEPT_DEMAND_FACTOR;
    const {borrowedLots: lots} = account;
    const unspent = lots.removeExpiringBy(nowMs + leftMs);
    unspent.push(...lots.removeSurplus(lots.availableMicro(nowMs) - kept));
    for (const lot of unspent) this.returnLot(account, lot);
  }

  /** Notifies the lenders of lots of less than a token that these are spent. */
  reportSpentLots(account: TeamAccount): void {
    for (const lot of account.borrowedLots.drainSpentLots())
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
   * Whether the available, requested and estimated tokens suffice for at least
   * one request. If not, peers are queried only once per `PROBE_INTERVAL_MS`,
   * in case the estimates are too low.
   */
  private shouldQueryPeers(
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

  private computeMissingMicro(account: TeamAccount, nowMs: number): number {
    const waiting = account.waitingCount * MICRO_PER_TOKEN;
    const ahead = this.computeUpcomingDemandMicro(account);
    const covered = account.availableMicro(nowMs) + account.requestedMicro;
    if (waiting === 0 && covered > ahead * REFILL_THRESHOLD_FRACTION) return 0;
    return waiting * account.overrequestFactor() + ahead - covered;
  }

  /**
   * Tokens that the demand of the next `BORROW_AHEAD_MS` needs beyond what this
   * instance's own share earns, in millionths.
   */
  private computeUpcomingDemandMicro(account: TeamAccount): number {
    const {rate, demand} = account;
    const perSecond = Math.min(demand.perSecond(), rate.ratePerSecond);
    const ahead = (perSecond * BORROW_AHEAD_MS * MICRO_PER_TOKEN) / 1000;
    // Less than a token admits no request; the next request borrows by itself.
    if (ahead < MICRO_PER_TOKEN) return 0;
    const own =
      computeMicroPerMs(rate, this.options.usableParts()) * BORROW_AHEAD_MS;
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
    const lifetime = computeLotLifetimeMs(account.rate);
    const request: BorrowRequest = {
      teamName: account.teamName,
      lotId,
      wantedMicro,
      lifetimeMs: lifetime,
    };
    account.peerLevels.subtractRequested(peerId, wantedMicro, account.rate);
    account.requestedMicro += wantedMicro;
    // The borrower's lifetime starts before the request is sent, so it ends
    // before the lender's, which starts when the tokens are subtracted.
    const expiresAtMs = performance.now() + lifetime;
    const result = await this.options.network.request(
      peerId,
      BORROW_KIND,
      request,
      BORROW_TIMEOUT_MS,
    );
    account.requestedMicro -= wantedMicro;
    const response = result.ok
      ? borrowResponseSchema.safeParse(result.val)
      : undefined;
    if (!response?.success || response.data.grantedMicro > wantedMicro) {
      account.peerLevels.avoid(peerId);
      this.options.metrics.count('limits.borrow_failed');
    } else {
      const {grantedMicro, lendableMicro} = response.data;
      account.peerLevels.recordLevel(peerId, lendableMicro);
      account.borrowPace.recordGrant(grantedMicro, wantedMicro);
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
