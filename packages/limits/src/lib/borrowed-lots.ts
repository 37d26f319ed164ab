/**
 * Tokens borrowed from peers for one team, oldest first.
 *
 * The lifetime of a lot starts when the borrower sends its request, and is
 * measured with the borrower's own monotonic clock.
 */

import {MICRO_PER_TOKEN} from './micro-tokens.js';

export interface BorrowedLot {
  lotId: string;
  lenderId: string;
  /** Amount that is not spent yet. */
  amountMicro: number;
  /** Amount that the lender granted. */
  grantedMicro: number;
  expiresAtMs: number;
}

export class BorrowedLots {
  private lots: BorrowedLot[] = [];
  private totalMicro = 0;
  private spentLots: BorrowedLot[] = [];

  static create(): BorrowedLots {
    return new BorrowedLots();
  }

  /** Adds a lot unless it expired in transit. */
  add(lot: BorrowedLot, nowMs: number): void {
    if (lot.expiresAtMs <= nowMs || lot.amountMicro <= 0) return;
    let index = this.lots.length;
    while (index > 0 && this.lots[index - 1]!.expiresAtMs > lot.expiresAtMs) {
      index -= 1;
    }
    this.lots.splice(index, 0, lot);
    this.totalMicro += lot.amountMicro;
  }

  availableMicro(nowMs: number): number {
    if (this.lots.length === 0) return 0;
    this.dropExpired(nowMs);
    return this.totalMicro;
  }

  /** Spends up to `amountMicro`; returns the amount spent. */
  spend(amountMicro: number): number {
    let missing = amountMicro;
    while (missing > 0 && this.lots.length > 0) {
      const lot = this.lots[0]!;
      const taken = Math.min(missing, lot.amountMicro);
      lot.amountMicro -= taken;
      this.totalMicro -= taken;
      missing -= taken;
      if (lot.amountMicro <= 0) this.recordSpentLot(this.lots.shift()!);
    }
    return amountMicro - missing;
  }

  hasSpentLots(): boolean {
    return this.spentLots.length > 0;
  }

  /**
   * Returns the lots of less than a token that were used up since the last
   * call.
   */
  drainSpentLots(): BorrowedLot[] {
    const spent = this.spentLots;
    this.spentLots = [];
    return spent;
  }

  /**
   * Removes the lots that expire by `expiryMs`, to be returned to their
   * lenders.
   */
  removeExpiringBy(expiryMs: number): BorrowedLot[] {
    const count = this.lots.findIndex(lot => lot.expiresAtMs > expiryMs);
    const removed = this.lots.splice(0, count < 0 ? this.lots.length : count);
    for (const lot of removed) this.totalMicro -= lot.amountMicro;
    return removed;
  }

  // Lenders of lots of less than a token own small shares: a spent lot that
  // still counts as lent would keep their buckets from refilling until it
  // expires.
  private recordSpentLot(lot: BorrowedLot): void {
    if (lot.grantedMicro < MICRO_PER_TOKEN) this.spentLots.push(lot);
  }

  /** Removes complete lots, oldest first, whose sum does not exceed `micro`. */
  removeSurplus(micro: number): BorrowedLot[] {
    let left = micro;
    let count = 0;
    while (count < this.lots.length && this.lots[count]!.amountMicro <= left) {
      left -= this.lots[count]!.amountMicro;
      count += 1;
    }
    this.totalMicro -= micro - left;
    return this.lots.splice(0, count);
  }

  private dropExpired(nowMs: number): void {
    while (this.lots.length > 0 && this.lots[0]!.expiresAtMs <= nowMs) {
      this.totalMicro -= this.lots.shift()!.amountMicro;
    }
  }
}
