/**
 * Checks recorded admissions against the rate and burst of a team.
 *
 * Every window [t, t + w] has at most burst + rate x w admissions if and only if
 * an ideal bucket that is full before the first admission never falls below 0.
 */
import type {History, HistoryEvent} from './history.js';
import type {TeamLimits} from './mutable-configuration.js';

// Allows for rounding errors; a real violation is at least one token.
const TOKEN_TOLERANCE = 1e-6;

/** A single bucket for the whole fleet: the reference for correct admission. */
export class IdealBucket {
  private tokens: number;
  private updatedAtMs = -Infinity;

  private constructor(private readonly team: TeamLimits) {
    this.tokens = team.burstTokens;
  }

  /** Returns a full bucket. */
  static create(team: TeamLimits): IdealBucket {
    return new IdealBucket(team);
  }

  /** Returns the tokens at `atMs`, which must not decrease between calls. */
  tokensAt(atMs: number): number {
    const {ratePerSecond, burstTokens} = this.team;
    if (this.updatedAtMs !== -Infinity) {
      const refilled = ((atMs - this.updatedAtMs) / 1000) * ratePerSecond;
      this.tokens = Math.min(burstTokens, this.tokens + refilled);
    }
    this.updatedAtMs = atMs;
    return this.tokens;
  }

  /** Takes one token, even below 0; returns the tokens that remain. */
  takeToken(atMs: number): number {
    this.tokens = this.tokensAt(atMs) - 1;
    return this.tokens;
  }
}

/** Throws on the first admission that exceeds rate and burst. */
export function checkWithinLimits(history: History, team: TeamLimits): void {
  const bucket = IdealBucket.create(team);
  for (const event of findTeamEvents(history, team.name)) {
    if (event.kind !== 'admitted') continue;
    const remaining = bucket.takeToken(event.atMs);
    if (remaining >= -TOKEN_TOLERANCE) continue;
    throw new Error(
      `team ${team.name} (rate ${team.ratePerSecond}/s, burst ` +
        `${team.burstTokens}) got ${-remaining} tokens too many at ${event.atMs} ` +
        `ms, at instance ${event.process}`,
    );
  }
}

export interface AdmissionCounts {
  offered: number;
  admitted: number;
  refused: number;
  /** Refused although the ideal bucket had a token. */
  wrongful: number;
}

/**
 * Counts the requests offered from `fromMs` on. A refusal is wrongful if the
 * ideal bucket, charged with all admitted requests, had a token when the request
 * arrived or when it was refused.
 */
export function countAdmissions(
  history: History,
  team: TeamLimits,
  fromMs: number,
): AdmissionCounts {
  const counts = {offered: 0, admitted: 0, refused: 0, wrongful: 0};
  const bucket = IdealBucket.create(team);
  const tokenAvailableAtArrival = new Map<string, boolean>();
  for (const event of findTeamEvents(history, team.name)) {
    const availableNow = bucket.tokensAt(event.atMs) >= 1;
    if (event.kind === 'admitted') bucket.takeToken(event.atMs);
    if (event.kind === 'offered') {
      if (event.atMs < fromMs) continue;
      tokenAvailableAtArrival.set(event.operationId, availableNow);
      counts.offered += 1;
      continue;
    }
    const availableAtArrival = tokenAvailableAtArrival.get(event.operationId);
    if (availableAtArrival === undefined) continue;
    if (event.kind === 'admitted') counts.admitted += 1;
    if (event.kind !== 'refused') continue;
    counts.refused += 1;
    if (availableNow || availableAtArrival) counts.wrongful += 1;
  }
  return counts;
}

function findTeamEvents(history: History, teamName: string): HistoryEvent[] {
  return history.events.filter(event => event.value === teamName);
}
