/** The sequential probability ratio test on faults. */

const HEALTHY_FAULT_RATE = 0.01;
const FAULTY_FAULT_RATE = 0.2;
// Accepted chances of calling a healthy server faulty and the reverse, for one
// test. A service is tested several times a second, hence the small first one.
const FALSE_ALARM = 1e-5;
const MISSED_ALARM = 0.01;

const FAULT_EVIDENCE = Math.log(FAULTY_FAULT_RATE / HEALTHY_FAULT_RATE);
const SUCCESS_EVIDENCE = Math.log(
  (1 - FAULTY_FAULT_RATE) / (1 - HEALTHY_FAULT_RATE),
);

/** From this log likelihood ratio on, the server counts as faulty. */
export const FAULTY_THRESHOLD = Math.log((1 - MISSED_ALARM) / FALSE_ALARM);
/** Down from this one, it counts as healthy. */
export const HEALTHY_THRESHOLD = Math.log(MISSED_ALARM / (1 - FALSE_ALARM));

/** Log likelihood ratio of "faulty" against "healthy". */
export function faultEvidence(successes: number, faults: number): number {
  return faults * FAULT_EVIDENCE + successes * SUCCESS_EVIDENCE;
}
