/**
 * Computes the verdict on one server from pooled evidence.
 *
 * The tests run on the newest period, then on the two newest and so on, up to
 * the entire window, so that good responses before a fault do not delay the
 * verdict.
 */
import {
  WINDOW_PERIODS,
  addCounts,
  currentPeriod,
  zeroPooledCounts,
} from './evidence-pool.js';
import type {EvidencePool, PooledCounts} from './evidence-pool.js';
import {
  FAULTY_THRESHOLD,
  HEALTHY_THRESHOLD,
  faultEvidence,
} from './fault-test.js';
import {contradictsSlowness, isSlow} from './latency-test.js';
import type {LatencyCounts} from './latency-test.js';

export interface VerdictOptions {
  /** Number of live instances, including this one. */
  liveInstances: number;
  /**
   * Halves the thresholds of both tests, as during the ramp after readmission.
   */
  halveThresholds: boolean;
  /** Whether latency is tested; not for a new server, which may be cold. */
  testLatency: boolean;
}

export interface Verdict {
  reason: 'faults' | 'latency';
  /** Larger is worse; comparable between the servers of a service. */
  severity: number;
  /** First period of the part of the window on which the verdict is based. */
  firstPeriod: number;
}

/** The summed counts of one reporter. */
interface Tally extends PooledCounts {
  region: string;
}

const MIN_REPORTERS = 3;
// Limits the evidence of health from one reporter, so that a single reporter
// that claims many successes does not keep a faulty server in rotation.
const MAX_HEALTHY_EVIDENCE = 5;

export function computeVerdict(
  pool: EvidencePool,
  options: VerdictOptions,
): Verdict | undefined {
  if (!pool.isSuspect()) return undefined;
  const newest = currentPeriod();
  const tallies = new Map<string, Tally>();
  for (let age = 0; age < WINDOW_PERIODS; age += 1) {
    const firstPeriod = newest - age;
    if (firstPeriod <= pool.ignoredUpToPeriod) return undefined;
    addPeriod(tallies, pool, firstPeriod);
    const verdict = computeTallyVerdict([...tallies.values()], options);
    if (verdict) return {...verdict, firstPeriod};
  }
  return undefined;
}

function addPeriod(
  tallies: Map<string, Tally>,
  pool: EvidencePool,
  period: number,
): void {
  for (const {reporterId, region, periods} of pool.reporters.values()) {
    const counts = periods.find(entry => entry.period === period);
    if (!counts) continue;
    let tally = tallies.get(reporterId);
    if (!tally)
      tallies.set(reporterId, (tally = {region, ...zeroPooledCounts()}));
    addCounts(tally, counts);
  }
}

function computeTallyVerdict(
  tallies: readonly Tally[],
  options: VerdictOptions,
): Omit<Verdict, 'firstPeriod'> | undefined {
  const minReporters = Math.min(MIN_REPORTERS, options.liveInstances);
  if (tallies.length < minReporters) return undefined;
  const excludeWorst = options.liveInstances >= MIN_REPORTERS;
  const evidence = sumFaultEvidence(tallies, excludeWorst);
  const threshold = FAULTY_THRESHOLD / (options.halveThresholds ? 2 : 1);
  if (
    evidence >= threshold &&
    !isContradictedByRegion(tallies, contradictsFaults)
  ) {
    return {reason: 'faults', severity: 1 + evidence / FAULTY_THRESHOLD};
  }
  if (!options.testLatency) return undefined;
  const latency = sumLatencyCounts(tallies, excludeWorst);
  if (!isSlow(latency, options.halveThresholds)) return undefined;
  if (isContradictedByRegion(tallies, contradictsSlowness)) return undefined;
  const severity = latency.slowSamples / latency.latencySamples;
  return {reason: 'latency', severity};
}

/** Sums the evidence of faults, optionally without the worst reporter. */
function sumFaultEvidence(
  tallies: readonly Tally[],
  excludeWorst: boolean,
): number {
  let sum = 0;
  let worst = 0;
  for (const tally of tallies) {
    const evidence = Math.max(-MAX_HEALTHY_EVIDENCE, faultEvidence(tally));
    sum += evidence;
    worst = Math.max(worst, evidence);
  }
  return excludeWorst ? sum - worst : sum;
}

/**
 * Sums the counts, optionally without the reporter with the most slow ones.
 */
function sumLatencyCounts(
  tallies: readonly Tally[],
  excludeWorst: boolean,
): LatencyCounts {
  const sum = zeroPooledCounts();
  let worst: Tally | undefined;
  for (const tally of tallies) {
    addCounts(sum, tally);
    if (tally.slowSamples > (worst?.slowSamples ?? 0)) worst = tally;
  }
  if (!excludeWorst || !worst) return sum;
  addCounts(sum, worst, -1);
  return sum;
}

/**
 * Whether the reporters of at least one region observed a healthy server. The
 * fault is then in the network path from the other regions.
 */
function isContradictedByRegion(
  tallies: readonly Tally[],
  contradicts: (counts: PooledCounts) => boolean,
): boolean {
  const regions = new Map<string, PooledCounts>();
  for (const tally of tallies) {
    const sum = regions.get(tally.region) ?? zeroPooledCounts();
    addCounts(sum, tally);
    regions.set(tally.region, sum);
  }
  return [...regions.values()].some(contradicts);
}

function contradictsFaults(counts: PooledCounts): boolean {
  return faultEvidence(counts) <= HEALTHY_THRESHOLD;
}
