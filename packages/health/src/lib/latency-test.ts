/**
 * The latency test: a server is slow when most of its responses take more than
 * three times the median that the same reporter measured at comparable servers.
 *
 * Requiring a majority of slow responses compares the median of the server with
 * that of the others, so that a few outliers do not decide. A cold server takes
 * about three times as long, so a bare majority is not enough: some of the
 * responses must be far over the limit, or the majority must be statistically
 * significant.
 */

export interface LatencyCounts {
  latencySamples: number;
  /** Samples over the limit. */
  slowSamples: number;
  /** Samples over twice the limit. */
  verySlowSamples: number;
}

const SLOW_FACTOR = 3;
export const VERY_SLOW_FACTOR = 2;
const MIN_SAMPLES = 8;
const MIN_VERY_SLOW_SHARE = 0.3;
// Standard deviations over an even split; about 1 in 4,000 by chance.
const MAJORITY_DEVIATIONS = 3.5;
const MIN_CONTRADICTING_SAMPLES = 3;
const MAX_CONTRADICTING_SLOW_SHARE = 0.1;
const NOTABLE_SLOW_SHARE = 0.2;

/** Multiple of the other servers' median above which a response is slow. */
export function slowFactor(halveThresholds: boolean): number {
  return halveThresholds ? SLOW_FACTOR / 2 : SLOW_FACTOR;
}

export function isSlow(
  counts: LatencyCounts,
  halveThresholds: boolean,
): boolean {
  const {latencySamples, slowSamples, verySlowSamples} = counts;
  const minSamples = halveThresholds ? MIN_SAMPLES / 2 : MIN_SAMPLES;
  const half = latencySamples / 2;
  if (latencySamples < minSamples || slowSamples <= half) return false;
  if (verySlowSamples >= latencySamples * MIN_VERY_SLOW_SHARE) return true;
  const deviation = Math.sqrt(latencySamples) / 2;
  return slowSamples >= half + MAJORITY_DEVIATIONS * deviation;
}

/** Whether there are enough samples and almost none of them is slow. */
export function contradictsSlowness(counts: LatencyCounts): boolean {
  const {latencySamples, slowSamples} = counts;
  return (
    latencySamples >= MIN_CONTRADICTING_SAMPLES &&
    slowSamples <= latencySamples * MAX_CONTRADICTING_SLOW_SHARE
  );
}

/**
 * Whether a notable share of the responses is slow. When the entire service
 * slows down, its servers reach this share before each of them has a majority.
 */
export function hasNotableSlowness({
  latencySamples,
  slowSamples,
}: LatencyCounts) {
  return slowSamples > 0 && slowSamples >= latencySamples * NOTABLE_SLOW_SHARE;
}
