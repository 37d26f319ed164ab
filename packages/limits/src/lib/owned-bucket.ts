/**
 * The bucket that an instance owns for one team: its share of rate and burst.
 *
 * Tokens lent to peers count against the capacity until they can no longer be
 * spent. The available and the lent tokens together therefore never exceed the
 * owned share of the burst, even while rates or shares change.
 */
import {
  LOAN_EXPIRY_WAIT_MS,
  computeCapacityMicro,
  computeMicroPerMs,
} from './micro-tokens.js';
import type {TeamRate} from './micro-tokens.js';

interface LentLot {
  amountMicro: number;
  /** Time from which the borrower can no longer spend the lot. */
  expiresAtMs: number;
}

export class OwnedBucket {
  private tokensMicro = 0;
  private lentMicro = 0;
  // If a team is removed and added again, tokens lent from its former bucket
  // may still be spent, so a new bucket is refilled only after they have
  // expired.
  private updatedAtMs = performance.now() + LOAN_EXPIRY_WAIT_MS;
  private readonly lots = new Map<string, LentLot>();

  private constructor(
    private team: TeamRate,
    private parts: number,
  ) {}

  /** Starts empty: it is not known how many tokens a former owner spent. */
  static create(team: TeamRate, parts: number): OwnedBucket {
    return new OwnedBucket(team, parts);
  }

  /** Refills the bucket up to `nowMs` and returns the available tokens. */
  availableMicro(nowMs: number): number {
    if (this.lots.size > 0) this.expireLots(nowMs);
    this.refill(nowMs);
    return this.tokensMicro;
  }

  capacityMicro(): number {
    return computeCapacityMicro(this.team, this.parts);
  }

  outstandingLentMicro(): number {
    return this.lentMicro;
  }

  /** Subtracts tokens; at most as many as `availableMicro` returned. */
  spend(amountMicro: number): void {
    this.tokensMicro -= amountMicro;
  }

  /** Lends tokens to a borrower; returns false if the lot is lent already. */
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
   * Settles a lot of which the borrower returned `amountMicro` and spent the
   * rest. Tokens returned after the expiry are dropped, because the bucket may
   * have been refilled in their place.
   */
  settleLot(lotId: string, amountMicro: number, nowMs: number): void {
    this.availableMicro(nowMs);
    const lot = this.lots.get(lotId);
    if (!lot) return;
    this.lots.delete(lotId);
    this.lentMicro -= lot.amountMicro;
    this.tokensMicro += Math.min(amountMicro, lot.amountMicro);
    this.clampToCapacity();
  }

  setParts(parts: number, nowMs: number): void {
    this.availableMicro(nowMs);
    this.parts = parts;
    this.clampToCapacity();
  }

  setRate(team: TeamRate, nowMs: number): void {
    this.availableMicro(nowMs);
    this.team = team;
    this.clampToCapacity();
  }

  // Refills up to each expiry before releasing the capacity of the expired lot:
  // refilling that capacity for the time before would count the lot's tokens
  // twice.
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
    this.tokensMicro += elapsedMs * computeMicroPerMs(this.team, this.parts);
    this.clampToCapacity();
  }

  private clampToCapacity(): void {
    const maxTokensMicro = this.capacityMicro() - this.lentMicro;
    if (this.tokensMicro > maxTokensMicro)
      this.tokensMicro = Math.max(0, maxTokensMicro);
  }
}
