/** What one instance counts for one server in one period. */

export interface PeriodCounts {
  successes: number;
  /** 5xx responses, timeouts and broken connections. */
  faults: number;
  /** Responses that failed the checks. */
  failedChecks: number;
  /** Requests that the server refused in order to shed load. */
  shed: number;
  /** Responses whose latency was compared with that of other servers. */
  latencySamples: number;
  /** Those of `latencySamples` that exceeded the limit. */
  slowSamples: number;
  /** Requests that exceeded the limit while in flight. */
  overdue: number;
  /** Responses and overdue requests over twice the limit. */
  verySlowSamples: number;
}

export const PERIOD_MS = 200;

export function zeroPeriodCounts(): PeriodCounts {
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
