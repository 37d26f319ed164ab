/**
 * The sequential probability ratio test on faults.
 *
 * Responses that fail the checks weigh more than 5xx responses and timeouts:
 * load and callers cause some of the latter at healthy servers, but hardly ever
 * a truncated or mismatched response.
 */

const HEALTHY_FAULT_RATE = 0.01;
const HEALTHY_FAILED_CHECK_RATE = 0.002;
// Rate of faults and of failed checks at a faulty server.
const FAULTY_RATE = 0.2;
// Error rates of one test. A service is tested many times a second, hence the
// small rate of false positives.
const FALSE_POSITIVE_RATE = 1e-4;
const FALSE_NEGATIVE_RATE = 0.01;

const FAULT_EVIDENCE = Math.log(FAULTY_RATE / HEALTHY_FAULT_RATE);
const FAILED_CHECK_EVIDENCE = Math.log(FAULTY_RATE / HEALTHY_FAILED_CHECK_RATE);
const SUCCESS_EVIDENCE = Math.log((1 - FAULTY_RATE) / (1 - HEALTHY_FAULT_RATE));

/** At or above this log likelihood ratio, the server counts as faulty. */
export const FAULTY_THRESHOLD = Math.log(
  (1 - FALSE_NEGATIVE_RATE) / FALSE_POSITIVE_RATE,
);
/** At or below this log likelihood ratio, the server counts as healthy. */
export const HEALTHY_THRESHOLD = Math.log(
  FALSE_NEGATIVE_RATE / (1 - FALSE_POSITIVE_RATE),
);

export interface FaultCounts {
  successes: number;
  faults: number;
  failedChecks: number;
}

/** Log likelihood ratio of "faulty" against "healthy". */
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
