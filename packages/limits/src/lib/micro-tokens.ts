/**
 * Units of the limits: tokens are counted in millionths and shares in parts
 * per million, so that a share of a whole burst is a whole number and the
 * shares of all instances add up to the burst without rounding.
 */

/** Cost of one request. */
export const MICRO_PER_TOKEN = 1_000_000;

/** Parts of a ledger: owned and free parts always add up to this. */
export const TOTAL_PARTS = 1_000_000;

/** Rate and burst of one team over the whole fleet. */
export interface TeamRate {
  ratePerSecond: number;
  burstTokens: number;
}

/** Most tokens, in millionths, that the owner of `parts` may hold or lend. */
export function capacityMicro(team: TeamRate, parts: number): number {
  return team.burstTokens * parts;
}

/** Millionths that `parts` earn in one millisecond. */
export function microPerMs(team: TeamRate, parts: number): number {
  return (team.ratePerSecond * parts) / 1000;
}

// Longer lifetimes keep more of a burst bound in lent tokens; shorter ones do
// not survive a round trip between regions (16 ms) and a wait for the tick.
const MAX_LIFETIME_MS = 250;
const MIN_LIFETIME_MS = 50;

/** Longest lifetime of a borrowed token; a lowered share waits it out. */
export const LEND_HOLD_MS = MAX_LIFETIME_MS;

/** Lifetime of a token borrowed for `team`, counted from the request. */
export function lifetimeMs(team: TeamRate): number {
  const halfBurstMs = (team.burstTokens / (2 * team.ratePerSecond)) * 1000;
  return Math.min(MAX_LIFETIME_MS, Math.max(MIN_LIFETIME_MS, halfBurstMs));
}
