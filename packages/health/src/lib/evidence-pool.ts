/** Counts of all reporters for one server over a sliding window of 2 s. */
import {PERIOD_MS} from './period-counts.js';
import type {PeriodCounts} from './period-counts.js';

/** Counts as the two tests use them. */
export interface PooledCounts {
  successes: number;
  /** With failed checks. */
  faults: number;
  latencySamples: number;
  /** With requests overdue in flight. */
  slowSamples: number;
}

export interface ReporterWindow {
  reporterId: string;
  region: string;
  /** Oldest first; periods without evidence are absent. */
  slots: (PooledCounts & {period: number})[];
}

export const WINDOW_PERIODS = 10;

export function currentPeriod(): number {
  return Math.floor(performance.now() / PERIOD_MS);
}

export class EvidencePool {
  readonly reporters = new Map<string, ReporterWindow>();
  /** Newest period that holds a fault or a slow answer. */
  private lastBadPeriod = -Infinity;

  static create(): EvidencePool {
    return new EvidencePool();
  }

  add(reporterId: string, region: string, counts: PeriodCounts): void {
    const period = currentPeriod();
    const slot = this.slotOf(reporterId, region, period);
    const faults = counts.faults + counts.failedChecks;
    const slow = counts.slowSamples + counts.overdue;
    slot.successes += counts.successes;
    slot.faults += faults;
    slot.latencySamples += counts.latencySamples + counts.overdue;
    slot.slowSamples += slow;
    if (faults + slow > 0) this.lastBadPeriod = period;
  }

  /** Whether any fault or slow answer stands in the window. */
  isSuspect(): boolean {
    return this.lastBadPeriod > currentPeriod() - WINDOW_PERIODS;
  }

  clear(): void {
    this.reporters.clear();
    this.lastBadPeriod = -Infinity;
  }

  /** Counts of all reporters from `firstPeriod` on. */
  totalSince(firstPeriod: number): PooledCounts {
    const total = emptyCounts();
    for (const reporter of this.reporters.values()) {
      for (const slot of reporter.slots) {
        if (slot.period >= firstPeriod) addCounts(total, slot);
      }
    }
    return total;
  }

  private slotOf(reporterId: string, region: string, period: number) {
    let reporter = this.reporters.get(reporterId);
    if (!reporter) {
      reporter = {reporterId, region, slots: []};
      this.reporters.set(reporterId, reporter);
    }
    let slot = reporter.slots.find(one => one.period === period);
    if (!slot) {
      slot = {period, ...emptyCounts()};
      if (reporter.slots.length >= WINDOW_PERIODS) reporter.slots.shift();
      reporter.slots.push(slot);
    }
    return slot;
  }
}

export function emptyCounts(): PooledCounts {
  return {successes: 0, faults: 0, latencySamples: 0, slowSamples: 0};
}

export function addCounts(sum: PooledCounts, counts: PooledCounts): void {
  sum.successes += counts.successes;
  sum.faults += counts.faults;
  sum.latencySamples += counts.latencySamples;
  sum.slowSamples += counts.slowSamples;
}
