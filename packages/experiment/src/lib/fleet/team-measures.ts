/** What each team asked for, what it was given, and what an ideal gives. */
import type {Team} from '@fireflytrack/configuration';
import {IdealBucket} from './ideal-bucket.js';

export interface TeamCounts {
  offered: number;
  /** Requests that one ideal bucket for the whole fleet admits. */
  inRate: number;
  /** In-rate requests that the fleet's limiter refused. */
  refusedInRate: number;
  admitted: number;
  served: number;
  /** Largest number of tokens spent above rate and burst. */
  overAdmittedTokens: number;
}

interface TeamState {
  inRateBucket: IdealBucket;
  chargedBucket: IdealBucket;
  counts: TeamCounts;
}

// The strict bucket sees a token when the request is admitted, the module when
// it was lent or refilled; both clocks count whole milliseconds.
const CLOCK_TOLERANCE_TOKENS = 1;

export class TeamMeasurements {
  private readonly states = new Map<string, TeamState>();
  private counting = false;

  static create(teams: Iterable<Team>): TeamMeasurements {
    const measures = new TeamMeasurements();
    for (const {name, ratePerSecond, burstTokens} of teams) {
      measures.states.set(name, {
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
    return measures;
  }

  /** Ends the warm-up: from now on requests count. */
  startCounting(): void {
    this.counting = true;
  }

  /** Returns how to tell the fate of the request. */
  recordOffered(teamName: string): RequestMeasurement {
    const state = this.states.get(teamName)!;
    const inRate = state.inRateBucket.tryTake();
    if (!this.counting) return RequestMeasurement.create(undefined, state.chargedBucket);
    state.counts.offered += 1;
    if (inRate) state.counts.inRate += 1;
    return RequestMeasurement.create(state.counts, state.chargedBucket, inRate);
  }

  counts(): ReadonlyMap<string, TeamCounts> {
    return new Map([...this.states].map(([name, {counts}]) => [name, counts]));
  }
}

export class RequestMeasurement {
  private constructor(
    private readonly counts: TeamCounts | undefined,
    private readonly strict: IdealBucket,
    private readonly inRate: boolean,
  ) {}

  static create(
    counts: TeamCounts | undefined,
    strict: IdealBucket,
    inRate = false,
  ): RequestMeasurement {
    return new RequestMeasurement(counts, strict, inRate);
  }

  get isCounted(): boolean {
    return this.counts !== undefined;
  }

  admitted(): void {
    const debt = this.strict.forceTake();
    if (!this.counts) return;
    this.counts.admitted += 1;
    if (debt <= CLOCK_TOLERANCE_TOKENS) return;
    const worst = Math.max(this.counts.overAdmittedTokens, debt);
    this.counts.overAdmittedTokens = worst;
  }

  refused(): void {
    if (this.counts && this.inRate) this.counts.refusedInRate += 1;
  }

  served(): void {
    if (this.counts) this.counts.served += 1;
  }
}
