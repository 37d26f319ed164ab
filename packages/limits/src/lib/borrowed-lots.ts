/**
 * Tokens borrowed from peers for one team, oldest first.
 *
 * A lot can be spent until its lifetime after the borrower sent its request,
 * on the borrower's own monotonic clock.
 */

export interface BorrowedLot {
  lotId: string;
  lenderId: string;
  amountMicro: number;
  expiresAtMs: number;
}

export class BorrowedLots {
  private lots: BorrowedLot[] = [];
  private totalMicro = 0;

  static create(): BorrowedLots {
    return new BorrowedLots();
  }

  /** Adds a lot unless it expired on its way. */
  add(lot: BorrowedLot, nowMs: number): void {
    if (lot.expiresAtMs <= nowMs || lot.amountMicro <= 0) return;
    let index = this.lots.length;
    while (index > 0 && this.lots[index - 1]!.expiresAtMs > lot.expiresAtMs) {
      index -= 1;
    }
    this.lots.splice(index, 0, lot);
    this.totalMicro += lot.amountMicro;
  }

  levelMicro(nowMs: number): number {
    if (this.lots.length === 0) return 0;
    this.dropUntil(nowMs);
    return this.totalMicro;
  }

  /** Takes up to `amountMicro` and returns how much was taken. */
  take(amountMicro: number): number {
    let missing = amountMicro;
    while (missing > 0 && this.lots.length > 0) {
      const lot = this.lots[0]!;
      const taken = Math.min(missing, lot.amountMicro);
      lot.amountMicro -= taken;
      this.totalMicro -= taken;
      missing -= taken;
      if (lot.amountMicro <= 0) this.lots.shift();
    }
    return amountMicro - missing;
  }

  /** Removes the lots that expire by `expiryMs`, to be given back. */
  removeExpiringBy(expiryMs: number): BorrowedLot[] {
    const count = this.lots.findIndex(lot => lot.expiresAtMs > expiryMs);
    const removed = this.lots.splice(0, count < 0 ? this.lots.length : count);
    for (const lot of removed) this.totalMicro -= lot.amountMicro;
    return removed;
  }

  private dropUntil(nowMs: number): void {
    while (this.lots.length > 0 && this.lots[0]!.expiresAtMs <= nowMs) {
      this.totalMicro -= this.lots.shift()!.amountMicro;
    }
  }
}
