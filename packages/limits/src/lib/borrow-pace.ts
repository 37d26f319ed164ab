/**
 * How soon peers are asked again. While the whole fleet is short of a team's
 * tokens, asking moves nothing and would cost a message per millisecond and
 * pair of instances.
 */

const NEWEST_WEIGHT = 0.1;
const PLENTY = 0.4;
// A near peer answers after 2 ms; short rounds let a request try several.
const PLENTY_GAP_MS = 4;
// A request waits at most 60 ms; with a gap of 100 ms most were refused without
// any peer being asked for them, although the peers held fractions of tokens.
const SCARCE_GAP_MS = 20;
// With a tick each 20 ms the memory of scarcity fades in about 2 s.
const FADE_PER_TICK = 0.01;

export class BorrowPace {
  /** Granted by asked, averaged over recent answers. */
  private yieldFraction = 1;
  private lastRoundAtMs = -Infinity;

  static create(): BorrowPace {
    return new BorrowPace();
  }

  /** Whether another round may start now; notes that it did. */
  tryStart(nowMs: number): boolean {
    const gapMs = this.yieldFraction < PLENTY ? SCARCE_GAP_MS : PLENTY_GAP_MS;
    if (nowMs - this.lastRoundAtMs < gapMs) return false;
    this.lastRoundAtMs = nowMs;
    return true;
  }

  noteAnswer(grantedMicro: number, wantedMicro: number): void {
    const fraction = grantedMicro / wantedMicro;
    this.yieldFraction += (fraction - this.yieldFraction) * NEWEST_WEIGHT;
  }

  tick(): void {
    this.yieldFraction += (1 - this.yieldFraction) * FADE_PER_TICK;
  }
}
