/** Counts wrongful refusals of in-rate load under skew and replacement. */
import {
  IdealBucket,
  checkWithinLimits,
  countAdmissions,
} from './limits-checker.js';
import type {AdmissionCounts} from './limits-checker.js';
import {LimitsFleet} from './limits-fleet.js';
import type {LimitsFleetOptions} from './limits-fleet.js';
import {scheduleArrivals} from './limits-load.js';
import {pickRandom} from './limits-random.js';
import type {TeamLimits} from './mutable-configuration.js';
import {SimulatedClock} from './simulated-clock.js';

export interface InRateRunOptions {
  seed: number;
  instances: number;
  teams: readonly TeamLimits[];
  durationMs: number;
  /** Load of each team as a fraction of its rate. */
  demand: number;
  /** Fraction of each team's requests that go to one instance. */
  skew: number;
  /** Interval at which an instance is replaced; none is replaced if absent. */
  replaceEveryMs?: number;
  createLimiter?: LimitsFleetOptions['createLimiter'];
}

export const IN_RATE_TEAMS: readonly TeamLimits[] = [
  {name: 'small', ratePerSecond: 2, burstTokens: 6},
  {name: 'middle', ratePerSecond: 40, burstTokens: 40},
  {name: 'large', ratePerSecond: 300, burstTokens: 300},
];

// By then the shares have converged and the buckets are full.
const SETTLE_MS = 10_000;
const OUTCOME_WAIT_MS = 100;

/**
 * Runs a fleet under in-rate load and returns the counts by team name. Rejects
 * if a team exceeds its limits.
 */
export async function runInRateLoad(
  options: InRateRunOptions,
): Promise<Map<string, AdmissionCounts>> {
  const {teams, durationMs, demand, skew, replaceEveryMs} = options;
  const clock = SimulatedClock.install();
  try {
    const fleet = LimitsFleet.create({...options, clock});
    await fleet.advance(SETTLE_MS);
    const fromMs = performance.now();
    for (const team of teams) {
      const requestsPerSecond = team.ratePerSecond * demand;
      const load = {teamName: team.name, requestsPerSecond, durationMs, skew};
      scheduleArrivals(fleet, load);
    }
    if (replaceEveryMs) scheduleReplacements(fleet, replaceEveryMs, durationMs);
    await fleet.advance(durationMs + OUTCOME_WAIT_MS);
    const counts = new Map<string, AdmissionCounts>();
    for (const team of teams) {
      checkWithinLimits(fleet.history, team);
      counts.set(team.name, countAdmissions(fleet.history, team, fromMs));
    }
    return counts;
  } finally {
    clock.uninstall();
  }
}

/** Returns the wrongful refusals of all teams as a fraction of their requests. */
export function wrongfulRefusalFraction(
  counts: ReadonlyMap<string, AdmissionCounts>,
): number {
  let wrongful = 0;
  let offered = 0;
  for (const count of counts.values()) {
    wrongful += count.wrongful;
    offered += count.offered;
  }
  return wrongful / offered;
}

/** Counts the arrivals that an ideal bucket would admit. */
export function countInRateRequests(
  arrivalsMs: readonly number[],
  team: TeamLimits,
): number {
  const bucket = IdealBucket.create(team);
  let count = 0;
  for (const atMs of arrivalsMs) {
    if (bucket.tokensAt(atMs) < 1) continue;
    bucket.takeToken(atMs);
    count += 1;
  }
  return count;
}

function scheduleReplacements(
  fleet: LimitsFleet,
  everyMs: number,
  durationMs: number,
): void {
  for (let atMs = everyMs; atMs < durationMs; atMs += everyMs) {
    setTimeout(() => {
      const leaving = pickRandom(fleet.random, fleet.liveInstances());
      fleet.addInstance();
      void fleet.stop(leaving);
    }, atMs);
  }
}
