/** The counts of all reporters for one server in a sliding window of 2 s. */
import type {FaultCounts} from './fault-test.js';
import type {LatencyCounts} from './latency-test.js';
import {PERIOD_MS, hasCounts} from './period-counts.js';
import type {PeriodCounts} from './period-counts.js';

/** The counts that the fault test and the latency test need. */
export type PooledCounts = FaultCounts & LatencyCounts;

/** The counts of one reporter within the window. */
export interface ReporterWindow {
  reporterId: string;
  region: string;
  /** Oldest first; periods without evidence are absent. */
  periods: (PooledCounts & {period: number})[];
}

export const WINDOW_PERIODS = 10;
// Within a few periods, a single reporter rarely counts more bad responses.
const MIN_BAD_TO_EXCLUDE_REPORTER = 3;

export function currentPeriod(): number {
  return Math.floor(performance.now() / PERIOD_MS);
}

export class EvidencePool {
  readonly reporters = new Map<string, ReporterWindow>();
  /** Newest period with a fault or a slow response. */
  private lastSuspectPeriod = -Infinity;
  /** Evidence up to and including this period is ignored by the verdict. */
  ignoredUpToPeriod = -Infinity;

  static create(): EvidencePool {
    return new EvidencePool();
  }

  add(reporterId: string, region: string, counts: PeriodCounts): void {
    if (!hasCounts(counts)) return;
    const period = currentPeriod();
    const pooled = this.findOrCreatePeriod(reporterId, region, period);
    // Requests that are overdue in flight are samples too.
    const slow = counts.slowSamples + counts.overdue;
    pooled.successes += counts.successes;
    pooled.faults += counts.faults;
    pooled.failedChecks += counts.failedChecks;
    pooled.latencySamples += counts.latencySamples + counts.overdue;
    pooled.slowSamples += slow;
    pooled.verySlowSamples += counts.verySlowSamples;
    const bad = counts.faults + counts.failedChecks + slow;
    if (bad > 0) this.lastSuspectPeriod = period;
  }

  /** Whether the window contains any fault or slow response. */
  isSuspect(): boolean {
    return this.lastSuspectPeriod > currentPeriod() - WINDOW_PERIODS;
  }

  clear(): void {
    this.reporters.clear();
    this.lastSuspectPeriod = -Infinity;
  }

  /** Ignores the evidence so far, because an overload caused it. */
  ignoreEvidenceSoFar(): void {
    this.ignoredUpToPeriod = currentPeriod();
  }

  /**
   * Sums the counts of all reporters from `firstPeriod` on. The reporter with
   * the most bad responses is excluded if it reports several: a single reporter
   * must not make the entire service look overloaded.
   */
  totalSince(firstPeriod: number): PooledCounts {
    const total = zeroPooledCounts();
    let worst: PooledCounts | undefined;
    for (const {periods} of this.reporters.values()) {
      const reporterTotal = zeroPooledCounts();
      for (const counts of periods) {
        if (counts.period >= firstPeriod) addCounts(reporterTotal, counts);
      }
      if (countBadSamples(reporterTotal) > (worst ? countBadSamples(worst) : 0))
        worst = reporterTotal;
      addCounts(total, reporterTotal);
    }
    if (worst && countBadSamples(worst) >= MIN_BAD_TO_EXCLUDE_REPORTER)
      addCounts(total, worst, -1);
    return total;
  }

  private findOrCreatePeriod(
    reporterId: string,
    region: string,
    period: number,
  ) {
    let reporter = this.reporters.get(reporterId);
    if (!reporter) {
      reporter = {reporterId, region, periods: []};
      this.reporters.set(reporterId, reporter);
    }
    let pooled = reporter.periods.find(entry => entry.period === period);
    if (!pooled) {
      pooled = {period, ...zeroPooledCounts()};
      if (reporter.periods.length >= WINDOW_PERIODS) reporter.periods.shift();
      reporter.periods.push(pooled);
    }
    return pooled;
  }
}

export function zeroPooledCounts(): PooledCounts {
  return {
    successes: 0,
    faults: 0,
    failedChecks: 0,
    latencySamples: 0,
    slowSamples: 0,
    verySlowSamples: 0,
  };
}

export function addCounts(
  sum: PooledCounts,
  counts: PooledCounts,
  sign: 1 | -1 = 1,
): void {
  sum.successes += sign * counts.successes;
  sum.faults += sign * counts.faults;
  sum.failedChecks += sign * counts.failedChecks;
  sum.latencySamples += sign * counts.latencySamples;
  sum.slowSamples += sign * counts.slowSamples;
  sum.verySlowSamples += sign * counts.verySlowSamples;
}

function countBadSamples({
  faults,
  failedChecks,
  slowSamples,
}: PooledCounts): number {
  return faults + failedChecks + slowSamples;
}
