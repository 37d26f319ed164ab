/** What one instance saw of one server in one period. */

export interface PeriodCounts {
  successes: number;
  /** 5xx answers, timeouts and broken connections. */
  faults: number;
  /** Answers that failed the checks. */
  failedChecks: number;
  /** Refusals by which the server sheds load. */
  shed: number;
  /** Answers whose latency was compared with that of other servers. */
  latencySamples: number;
  /** Answers of these that took too long. */
  slowSamples: number;
  /** Requests that first became too slow in flight; none is an answer yet. */
  overdue: number;
  /** Answers and overdue requests of these over twice the limit. */
  verySlowSamples: number;
}

export const PERIOD_MS = 200;

export function noCounts(): PeriodCounts {
  return {
    successes: 0,
    faults: 0,
    failedChecks: 0,
    shed: 0,
    latencySamples: 0,
    slowSamples: 0,
    overdue: 0,
    verySlowSamples: 0,
  };
}

export function hasCounts(counts: PeriodCounts): boolean {
  return Object.values(counts).some(value => value > 0);
}
