/**
 * Checks a history of admissions against rate and burst.
 *
 * Every window [t, t + w] holds at most burst + rate x w admissions exactly if
 * an ideal bucket, full before the first admission, never falls under zero.
 */
import type {History, HistoryEvent} from './history.js';
import type {TeamLimits} from './mutable-configuration.js';

// Rounding of the sums in double precision; a real violation is a whole token.
const ROUNDING_TOKENS = 1e-6;

/** A single bucket over the whole fleet, as the measure of what is right. */
export class IdealBucket {
  private tokens: number;
  private atMs = -Infinity;

  private constructor(private readonly team: TeamLimits) {
    this.tokens = team.burstTokens;
  }

  /** A full bucket. */
  static create(team: TeamLimits): IdealBucket {
    return new IdealBucket(team);
  }

  /** Tokens at `atMs`, which must not decrease between calls. */
  level(atMs: number): number {
    const {ratePerSecond, burstTokens} = this.team;
    if (this.atMs !== -Infinity) {
      const grown = ((atMs - this.atMs) / 1000) * ratePerSecond;
      this.tokens = Math.min(burstTokens, this.tokens + grown);
    }
    this.atMs = atMs;
    return this.tokens;
  }

  /** Takes one token whether there is one or not; returns what is left. */
  take(atMs: number): number {
    this.tokens = this.level(atMs) - 1;
    return this.tokens;
  }
}

/** Throws at the first admission over rate and burst. */
export function checkWithinLimits(history: History, team: TeamLimits): void {
  const bucket = IdealBucket.create(team);
  for (const event of eventsOf(history, team.name)) {
    if (event.kind !== 'admitted') continue;
    const left = bucket.take(event.atMs);
    if (left >= -ROUNDING_TOKENS) continue;
    throw new Error(
      `team ${team.name} (rate ${team.ratePerSecond}/s, burst ` +
        `${team.burstTokens}) got ${-left} tokens too many at ${event.atMs} ` +
        `ms, at instance ${event.process}`,
    );
  }
}

export interface ServiceCounts {
  offered: number;
  admitted: number;
  refused: number;
  /** Refused although the ideal bucket held a token. */
  wrongful: number;
}

/**
 * Counts requests that were offered from `fromMs` on. A refusal is wrongful if
 * the ideal bucket over all admitted requests held a token when the request
 * came or when it was refused.
 */
export function countService(
  history: History,
  team: TeamLimits,
  fromMs: number,
): ServiceCounts {
  const counts = {offered: 0, admitted: 0, refused: 0, wrongful: 0};
  const bucket = IdealBucket.create(team);
  const entitled = new Map<string, boolean>();
  for (const event of eventsOf(history, team.name)) {
    const had = bucket.level(event.atMs) >= 1;
    if (event.kind === 'admitted') bucket.take(event.atMs);
    if (event.kind === 'offered') {
      if (event.atMs < fromMs) continue;
      entitled.set(event.operationId, had);
      counts.offered += 1;
      continue;
    }
    const hadAtArrival = entitled.get(event.operationId);
    if (hadAtArrival === undefined) continue;
    if (event.kind === 'admitted') counts.admitted += 1;
    if (event.kind !== 'refused') continue;
    counts.refused += 1;
    if (had || hadAtArrival) counts.wrongful += 1;
  }
  return counts;
}

function eventsOf(history: History, teamName: string): HistoryEvent[] {
  return history.events.filter(event => event.value === teamName);
}
