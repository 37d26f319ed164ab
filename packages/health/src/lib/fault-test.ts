/**
 * The fault test: a sequential probability ratio test on the rate of faults.
 *
 * Responses that fail the checks weigh more than 5xx responses and timeouts: at
 * healthy servers, load and callers cause some of the latter, but hardly ever a
 * truncated or mismatched response.
 */

const HEALTHY_FAULT_RATE = 0.01;
const HEALTHY_FAILED_CHECK_RATE = 0.002;
// Rate of faults and of failed checks at a faulty server.
const FAULTY_RATE = 0.2;
// Error rates of a single test. The rate of false positives is low because a
// service is tested many times a second.
const FALSE_POSITIVE_RATE = 1e-4;
const FALSE_NEGATIVE_RATE = 0.01;

const FAULT_EVIDENCE = Math.log(FAULTY_RATE / HEALTHY_FAULT_RATE);
const FAILED_CHECK_EVIDENCE = Math.log(FAULTY_RATE / HEALTHY_FAILED_CHECK_RATE);
const SUCCESS_EVIDENCE = Math.log((1 - FAULTY_RATE) / (1 - HEALTHY_FAULT_RATE));

/** A server with at least this log likelihood ratio counts as faulty. */
export const FAULTY_THRESHOLD = Math.log(
  (1 - FALSE_NEGATIVE_RATE) / FALSE_POSITIVE_RATE,
);
/** A server with at most this log likelihood ratio counts as healthy. */
export const HEALTHY_THRESHOLD = Math.log(
  FALSE_NEGATIVE_RATE / (1 - FALSE_POSITIVE_RATE),
);

export interface FaultCounts {
  successes: number;
  faults: number;
  failedChecks: number;
}

/** Computes the log likelihood ratio of "faulty" against "healthy". */
export function faultEvidence(counts: FaultCounts): number {
  return (
    counts.faults * FAULT_EVIDENCE +
    counts.failedChecks * FAILED_CHECK_EVIDENCE +
    counts.successes * SUCCESS_EVIDENCE
  );
}

export function countResponses(counts: FaultCounts): number {
  return counts.successes + counts.faults + counts.failedChecks;
}
