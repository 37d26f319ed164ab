/**
 * How soon peers are asked again. While the whole fleet is short of a team's
 * tokens, asking moves nothing and would cost a message per millisecond and
 * pair of instances.
 */

const SMOOTHING_FACTOR = 0.1;
const PLENTIFUL_GRANT_FRACTION = 0.4;
// A near peer answers after 2 ms; short rounds let a request try several.
const PLENTIFUL_ROUND_INTERVAL_MS = 4;
// A request waits at most 60 ms; with a gap of 100 ms most were refused without
// any peer being asked for them, although the peers held fractions of tokens.
const SCARCE_ROUND_INTERVAL_MS = 20;
// With a tick each 20 ms the memory of scarcity fades in about 2 s.
const RECOVERY_PER_TICK = 0.01;

export class BorrowPace {
  /** Granted by asked, averaged over recent answers. */
  private averageGrantFraction = 1;
  private lastRoundAtMs = -Infinity;

  static create(): BorrowPace {
    return new BorrowPace();
  }

  /** Whether another round may start now; notes that it did. */
  tryStart(nowMs: number): boolean {
    const intervalMs =
      this.averageGrantFraction < PLENTIFUL_GRANT_FRACTION
        ? SCARCE_ROUND_INTERVAL_MS
        : PLENTIFUL_ROUND_INTERVAL_MS;
    if (nowMs - this.lastRoundAtMs < intervalMs) return false;
    this.lastRoundAtMs = nowMs;
    return true;
  }

  recordGrant(grantedMicro: number, wantedMicro: number): void {
    const fraction = grantedMicro / wantedMicro;
    this.averageGrantFraction +=
      (fraction - this.averageGrantFraction) * SMOOTHING_FACTOR;
  }

  tick(): void {
    this.averageGrantFraction +=
      (1 - this.averageGrantFraction) * RECOVERY_PER_TICK;
  }
}
