/** Counts of all reporters for one server over a sliding window of 2 s. */
import type {FaultCounts} from './fault-test.js';
import type {LatencyCounts} from './latency-test.js';
import {PERIOD_MS, hasCounts} from './period-counts.js';
import type {PeriodCounts} from './period-counts.js';

/** Counts as the two tests use them. */
export type PooledCounts = FaultCounts & LatencyCounts;

export interface ReporterWindow {
  reporterId: string;
  region: string;
  /** Oldest first; periods without evidence are absent. */
  slots: (PooledCounts & {period: number})[];
}

export const WINDOW_PERIODS = 10;
// One reporter rarely sees more of a server in a few periods.
const MIN_BAD_TO_EXCLUDE_REPORTER = 3;

export function currentPeriod(): number {
  return Math.floor(performance.now() / PERIOD_MS);
}

export class EvidencePool {
  readonly reporters = new Map<string, ReporterWindow>();
  /** Newest period with a fault or a slow response. */
  private lastBadPeriod = -Infinity;
  /** Evidence up to this period is ignored by the verdict. */
  ignoredUpToPeriod = -Infinity;

  static create(): EvidencePool {
    return new EvidencePool();
  }

  add(reporterId: string, region: string, counts: PeriodCounts): void {
    if (!hasCounts(counts)) return;
    const period = currentPeriod();
    const slot = this.findOrCreateSlot(reporterId, region, period);
    // Requests that are overdue in flight are samples too.
    const slow = counts.slowSamples + counts.overdue;
    slot.successes += counts.successes;
    slot.faults += counts.faults;
    slot.failedChecks += counts.failedChecks;
    slot.latencySamples += counts.latencySamples + counts.overdue;
    slot.slowSamples += slow;
    slot.verySlowSamples += counts.verySlowSamples;
    const bad = counts.faults + counts.failedChecks + slow;
    if (bad > 0) this.lastBadPeriod = period;
  }

  /** Whether the window contains any fault or slow response. */
  isSuspect(): boolean {
    return this.lastBadPeriod > currentPeriod() - WINDOW_PERIODS;
  }

  clear(): void {
    this.reporters.clear();
    this.lastBadPeriod = -Infinity;
  }

  /** Ignores all evidence up to now, because an overload caused it. */
  ignoreEvidenceSoFar(): void {
    this.ignoredUpToPeriod = currentPeriod();
  }

  /**
   * Counts of all reporters from `firstPeriod` on, without the most damaging
   * one if it reports several bad responses: a single reporter must not make
   * the entire service look overloaded.
   */
  totalSince(firstPeriod: number): PooledCounts {
    const total = zeroPooledCounts();
    let worst: PooledCounts | undefined;
    for (const {slots} of this.reporters.values()) {
      const told = zeroPooledCounts();
      for (const slot of slots) {
        if (slot.period >= firstPeriod) addCounts(told, slot);
      }
      if (countBadSamples(told) > (worst ? countBadSamples(worst) : 0))
        worst = told;
      addCounts(total, told);
    }
    if (worst && countBadSamples(worst) >= MIN_BAD_TO_EXCLUDE_REPORTER)
      addCounts(total, worst, -1);
    return total;
  }

  private findOrCreateSlot(reporterId: string, region: string, period: number) {
    let reporter = this.reporters.get(reporterId);
    if (!reporter) {
      reporter = {reporterId, region, slots: []};
      this.reporters.set(reporterId, reporter);
    }
    let slot = reporter.slots.find(one => one.period === period);
    if (!slot) {
      slot = {period, ...zeroPooledCounts()};
      if (reporter.slots.length >= WINDOW_PERIODS) reporter.slots.shift();
      reporter.slots.push(slot);
    }
    return slot;
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
