/**
 * The bucket that an instance owns for one team: its share of rate and burst.
 *
 * Tokens lent to peers count against the capacity until they can no longer be
 * spent. So the tokens that can be spent anywhere, at hand or lent, never
 * exceed the owned share of the burst, also while rates or shares change.
 */
import {LEND_HOLD_MS, capacityMicro, microPerMs} from './micro-tokens.js';
import type {TeamRate} from './micro-tokens.js';

interface LentLot {
  amountMicro: number;
  /** When the borrower can no longer spend it, at the latest. */
  expiresAtMs: number;
}

export class OwnedBucket {
  private tokensMicro = 0;
  private lentMicro = 0;
  // A team that was removed and added again may still have lent tokens of its
  // former bucket about, so a new bucket earns only after their lifetime.
  private updatedAtMs = performance.now() + LEND_HOLD_MS;
  private readonly lots = new Map<string, LentLot>();

  private constructor(
    private team: TeamRate,
    private parts: number,
  ) {}

  /** Starts empty, because the spending of a former owner is not known. */
  static create(team: TeamRate, parts: number): OwnedBucket {
    return new OwnedBucket(team, parts);
  }

  /** Brings the bucket to `nowMs` and returns the tokens at hand. */
  levelMicro(nowMs: number): number {
    if (this.lots.size > 0) this.expireLots(nowMs);
    this.refill(nowMs);
    return this.tokensMicro;
  }

  capacityMicro(): number {
    return capacityMicro(this.team, this.parts);
  }

  lentOutMicro(): number {
    return this.lentMicro;
  }

  /** Takes tokens that `levelMicro` reported. */
  spend(amountMicro: number): void {
    this.tokensMicro -= amountMicro;
  }

  /** Subtracts tokens for a borrower; false if the lot is already lent. */
  lend(
    lotId: string,
    amountMicro: number,
    lifetimeMs: number,
    nowMs: number,
  ): boolean {
    if (this.lots.has(lotId)) return false;
    this.tokensMicro -= amountMicro;
    this.lentMicro += amountMicro;
    this.lots.set(lotId, {amountMicro, expiresAtMs: nowMs + lifetimeMs});
    return true;
  }

  /**
   * Ends a lot whose borrower keeps nothing of it. Tokens returned after
   * the expiry are dropped, because their capacity may be refilled already.
   */
  endLoan(lotId: string, amountMicro: number, nowMs: number): void {
    this.levelMicro(nowMs);
    const lot = this.lots.get(lotId);
    if (!lot) return;
    this.lots.delete(lotId);
    this.lentMicro -= lot.amountMicro;
    this.tokensMicro += Math.min(amountMicro, lot.amountMicro);
    this.clampToCapacity();
  }

  setParts(parts: number, nowMs: number): void {
    this.levelMicro(nowMs);
    this.parts = parts;
    this.clampToCapacity();
  }

  setRate(team: TeamRate, nowMs: number): void {
    this.levelMicro(nowMs);
    this.team = team;
    this.clampToCapacity();
  }

  // Refills up to each expiry before the expired lot makes room: refilling
  // that room for the time before would count the lot's tokens twice.
  private expireLots(nowMs: number): void {
    for (const [lotId, lot] of this.lots) {
      if (lot.expiresAtMs > nowMs) return;
      this.refill(lot.expiresAtMs);
      this.lentMicro -= lot.amountMicro;
      this.lots.delete(lotId);
    }
  }

  private refill(untilMs: number): void {
    const elapsedMs = untilMs - this.updatedAtMs;
    if (elapsedMs <= 0) return;
    this.updatedAtMs = untilMs;
    this.tokensMicro += elapsedMs * microPerMs(this.team, this.parts);
    this.clampToCapacity();
  }

  private clampToCapacity(): void {
    const room = this.capacityMicro() - this.lentMicro;
    if (this.tokensMicro > room) this.tokensMicro = Math.max(0, room);
  }
}
