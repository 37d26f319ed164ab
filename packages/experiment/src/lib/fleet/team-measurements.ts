/**
 * Counts offered, admitted, refused and served requests by team, and compares
 * them with an ideal token bucket for the whole fleet.
 */
import type {Team} from '@fireflytrack/configuration';
import {IdealBucket} from './ideal-bucket.js';

export interface TeamCounts {
  offered: number;
  /** Requests that an ideal bucket for the whole fleet admits. */
  inRate: number;
  /** In-rate requests that the limiter refused. */
  refusedInRate: number;
  admitted: number;
  served: number;
  /** Largest number of tokens taken beyond rate and burst. */
  overAdmittedTokens: number;
}

interface TeamState {
  inRateBucket: IdealBucket;
  chargedBucket: IdealBucket;
  counts: TeamCounts;
}

// The ideal bucket is charged when a request is admitted, whereas the limiter
// accounts for a token when it is lent or refilled. Both clocks count whole
// milliseconds.
const CLOCK_TOLERANCE_TOKENS = 1;

export class TeamMeasurements {
  private readonly states = new Map<string, TeamState>();
  private counting = false;

  static create(teams: Iterable<Team>): TeamMeasurements {
    const measurements = new TeamMeasurements();
    for (const {name, ratePerSecond, burstTokens} of teams) {
      measurements.states.set(name, {
        inRateBucket: IdealBucket.create(ratePerSecond, burstTokens),
        chargedBucket: IdealBucket.create(ratePerSecond, burstTokens),
        counts: {
          offered: 0,
          inRate: 0,
          refusedInRate: 0,
          admitted: 0,
          served: 0,
          overAdmittedTokens: 0,
        },
      });
    }
    return measurements;
  }

  /** Ends the warm-up: requests are counted from now on. */
  startCounting(): void {
    this.counting = true;
  }

  /** Records an arriving request; its further course is recorded on the result. */
  recordOffered(teamName: string): RequestMeasurement {
    const state = this.states.get(teamName)!;
    const inRate = state.inRateBucket.tryTake();
    if (!this.counting)
      return RequestMeasurement.create(undefined, state.chargedBucket);
    state.counts.offered += 1;
    if (inRate) state.counts.inRate += 1;
    return RequestMeasurement.create(state.counts, state.chargedBucket, inRate);
  }

  counts(): ReadonlyMap<string, TeamCounts> {
    return new Map([...this.states].map(([name, {counts}]) => [name, counts]));
  }
}

/** Records what happens to one request; counts nothing during the warm-up. */
export class RequestMeasurement {
  private constructor(
    private readonly counts: TeamCounts | undefined,
    private readonly chargedBucket: IdealBucket,
    private readonly inRate: boolean,
  ) {}

  static create(
    counts: TeamCounts | undefined,
    chargedBucket: IdealBucket,
    inRate = false,
  ): RequestMeasurement {
    return new RequestMeasurement(counts, chargedBucket, inRate);
  }

  get isCounted(): boolean {
    return this.counts !== undefined;
  }

  recordAdmitted(): void {
    const debt = this.chargedBucket.forceTake();
    if (!this.counts) return;
    this.counts.admitted += 1;
    if (debt <= CLOCK_TOLERANCE_TOKENS) return;
    const worst = Math.max(this.counts.overAdmittedTokens, debt);
    this.counts.overAdmittedTokens = worst;
  }

  recordRefused(): void {
    if (this.counts && this.inRate) this.counts.refusedInRate += 1;
  }

  recordServed(): void {
    if (this.counts) this.counts.served += 1;
  }
}
