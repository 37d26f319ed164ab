/**
 * Units of the limits: tokens are counted in millionths and shares in parts
 * per million. A share of a burst is then an integer, and the shares of all
 * instances add up to the burst without rounding.
 */

/** Cost of one request, in millionths of a token. */
export const MICRO_PER_TOKEN = 1_000_000;

/** Owned and free parts of a ledger always add up to this number. */
export const TOTAL_PARTS = 1_000_000;

/** Rate and burst of one team across the entire fleet. */
export interface TeamRate {
  ratePerSecond: number;
  burstTokens: number;
}

/**
 * Maximum of tokens, in millionths, that the owner of `parts` may hold or have
 * lent out.
 */
export function computeCapacityMicro(team: TeamRate, parts: number): number {
  return team.burstTokens * parts;
}

/** Tokens, in millionths, that `parts` earn per millisecond. */
export function computeMicroPerMs(team: TeamRate, parts: number): number {
  return (team.ratePerSecond * parts) / 1000;
}

// Bounds of the lifetime of borrowed tokens. A longer lifetime ties up more of
// a burst in lent tokens; with a shorter one, tokens would expire within a
// round trip between regions (16 ms) and the wait for the next tick.
const MAX_LIFETIME_MS = 250;
const MIN_LIFETIME_MS = 50;

/**
 * Time after which all tokens lent so far have expired. An owner that lowers
 * its share waits this long before other instances may use the parts.
 */
export const LOAN_EXPIRY_WAIT_MS = MAX_LIFETIME_MS;

/** Lifetime of tokens borrowed for `team`, from the sending of the request. */
export function computeLotLifetimeMs(team: TeamRate): number {
  const halfBurstMs = (team.burstTokens / (2 * team.ratePerSecond)) * 1000;
  return Math.min(MAX_LIFETIME_MS, Math.max(MIN_LIFETIME_MS, halfBurstMs));
}
