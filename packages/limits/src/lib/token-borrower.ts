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
  borrowAnswerSchema,
} from './limit-messages.js';
import type {BorrowRequest, ReturnedLot} from './limit-messages.js';
import {MICRO_PER_TOKEN, lifetimeMs, microPerMs} from './micro-tokens.js';
import type {TeamAccount} from './team-account.js';

export interface TokenBorrowerOptions {
  network: PeerNetwork;
  membership: Membership;
  logger: Logger;
  metrics: Metrics;
  usableParts(): number;
}

// An answer later than this is of no use to a waiting request (60 ms), but may
// still serve the demand that follows.
const ANSWER_TIMEOUT_MS = 100;
// Borrowed ahead: the demand until the next ticks and a round trip later.
const AHEAD_MS = 80;
// The smallest amount worth a message; small teams gather a token from many.
const MIN_ASK_MICRO = 1000;
// Requests that wait although no peer seems to hold tokens for them; without
// these a wrong estimate would not be noticed.
const PROBING_REQUESTS = 2;
// Unspent tokens go back when this fraction of their lifetime is left, so
// that they arrive before the lender drops them.
const RETURN_FRACTION = 0.35;

interface Candidate {
  peerId: string;
  estimateMicro: number;
}

export class TokenBorrower {
  private nextLot = 1;

  private constructor(private readonly options: TokenBorrowerOptions) {}

  static create(options: TokenBorrowerOptions): TokenBorrower {
    return new TokenBorrower(options);
  }

  /** Whether one more request may expect a token within its wait. */
  worthWaiting(account: TeamAccount): boolean {
    const count = account.waitingCount + 1;
    if (count <= PROBING_REQUESTS) return true;
    const nowMs = performance.now();
    const needed = count * MICRO_PER_TOKEN;
    let expected = account.availableMicro(nowMs) + account.askedMicro;
    if (expected >= needed) return true;
    for (const candidate of this.candidates(account, nowMs)) {
      expected += candidate.estimateMicro;
    }
    return expected >= needed;
  }

  /** Asks peers for what waiting requests and the demand ahead need. */
  borrow(account: TeamAccount): void {
    const nowMs = performance.now();
    let missing = this.missingMicro(account, nowMs);
    if (missing < MIN_ASK_MICRO) return;
    const candidates = this.candidates(account, nowMs);
    candidates.sort((a, b) => b.estimateMicro - a.estimateMicro);
    for (const {peerId, estimateMicro} of candidates) {
      const wantedMicro = Math.ceil(Math.min(missing, estimateMicro));
      if (wantedMicro < MIN_ASK_MICRO) break;
      void this.ask(account, peerId, wantedMicro, estimateMicro);
      missing -= wantedMicro;
      if (missing < 1) break;
    }
  }

  /** Gives unspent tokens back before their lifetime ends. */
  returnUnspent(account: TeamAccount): void {
    if (account.waitingCount > 0) return;
    const leftMs = lifetimeMs(account.rate) * RETURN_FRACTION;
    const lots = account.lots.removeExpiringBy(performance.now() + leftMs);
    for (const {lenderId, lotId, amountMicro} of lots) {
      const {teamName} = account;
      const returned: ReturnedLot = {teamName, lotId, amountMicro};
      this.options.network.send(lenderId, RETURN_KIND, returned);
    }
  }

  private missingMicro(account: TeamAccount, nowMs: number): number {
    const {rate} = account;
    const perSecond = Math.min(account.demand.perSecond(), rate.ratePerSecond);
    const ahead = (perSecond * AHEAD_MS * MICRO_PER_TOKEN) / 1000;
    const waiting = account.waitingCount * MICRO_PER_TOKEN;
    // Less than a token ahead serves no request; a waiting one asks itself.
    const aheadOfNeed = ahead >= MICRO_PER_TOKEN ? ahead : 0;
    const own = microPerMs(rate, this.options.usableParts()) * AHEAD_MS;
    const covered = account.availableMicro(nowMs) + account.askedMicro;
    const wanted = waiting + Math.max(0, aheadOfNeed - own);
    return wanted - covered;
  }

  private candidates(account: TeamAccount, nowMs: number): Candidate[] {
    const found: Candidate[] = [];
    for (const member of this.options.membership.others()) {
      if (!member.reachable || member.leaving) continue;
      const peerId = member.identity.instanceId;
      const estimateMicro = account.peerLevels.estimateMicro(
        peerId,
        account.rate,
        nowMs,
      );
      if (estimateMicro >= MIN_ASK_MICRO) found.push({peerId, estimateMicro});
    }
    return found;
  }

  private async ask(
    account: TeamAccount,
    peerId: string,
    wantedMicro: number,
    estimateMicro: number,
  ): Promise<void> {
    const lotId = String(this.nextLot++);
    const lifetime = lifetimeMs(account.rate);
    const request: BorrowRequest = {
      teamName: account.teamName,
      lotId,
      wantedMicro,
      lifetimeMs: lifetime,
    };
    account.peerLevels.set(peerId, estimateMicro - wantedMicro);
    account.askedMicro += wantedMicro;
    // The lifetime counts from before the request leaves, so it ends before
    // the lender's, which counts from the subtraction.
    const expiresAtMs = performance.now() + lifetime;
    const result = await this.options.network.request(
      peerId,
      BORROW_KIND,
      request,
      ANSWER_TIMEOUT_MS,
    );
    account.askedMicro -= wantedMicro;
    const answer = result.ok
      ? borrowAnswerSchema.safeParse(result.val)
      : undefined;
    if (!answer?.success || answer.data.grantedMicro > wantedMicro) {
      account.peerLevels.avoid(peerId);
      this.options.metrics.count('limits.borrow_failed');
    } else {
      const {grantedMicro, lendableMicro} = answer.data;
      account.peerLevels.set(peerId, lendableMicro);
      const lot = {
        lotId,
        lenderId: peerId,
        amountMicro: grantedMicro,
        expiresAtMs,
      };
      account.addBorrowed(lot);
    }
    if (account.waitingCount > 0) this.borrow(account);
  }
}
