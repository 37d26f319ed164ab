/**
 * Limits how often an instance requests tokens from its peers. While the entire
 * fleet is short of a team's tokens, requests gain nothing and would cost a
 * message per millisecond and pair of instances.
 */

const SMOOTHING_FACTOR = 0.1;
const PLENTIFUL_GRANT_FRACTION = 0.4;
// A peer in the same region responds after 2 ms; short intervals let a waiting
// request try several rounds.
const PLENTIFUL_ROUND_INTERVAL_MS = 4;
// A request waits at most 60 ms. With an interval of 100 ms most were refused
// before any peer was queried, although the peers held fractions of tokens.
const SCARCE_ROUND_INTERVAL_MS = 20;
// With a tick every 20 ms the average recovers from scarcity in about 2 s.
const RECOVERY_PER_TICK = 0.01;

export class BorrowPace {
  /**
   * Granted fraction of the requested amount, averaged over recent responses.
   */
  private averageGrantFraction = 1;
  private lastRoundAtMs = -Infinity;

  static create(): BorrowPace {
    return new BorrowPace();
  }

  /** Returns whether another round may start now, and records its start. */
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
