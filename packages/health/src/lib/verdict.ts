/**
 * The verdict on one server from pooled evidence.
 *
 * The window is read from its newest period backwards and each part of it is
 * tested, so that good responses before the fault do not delay the verdict.
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
  /** Both thresholds are halved, as during the ramp after readmission. */
  halved: boolean;
  /** Whether latency is tested; it is not while a new server is cold. */
  judgesLatency: boolean;
}

export interface Verdict {
  reason: 'faults' | 'latency';
  /** Larger is worse; comparable between servers of a service. */
  badness: number;
  /** First period of the part of the window that shows it. */
  firstPeriod: number;
}

interface Tally extends PooledCounts {
  region: string;
}

const MIN_REPORTERS = 3;
// Bound on one reporter's evidence of health, so that a single reporter
// that claims many successes does not keep a faulty server in rotation.
const MAX_HEALTHY_EVIDENCE = 5;

export function computeVerdict(
  pool: EvidencePool,
  options: VerdictOptions,
): Verdict | undefined {
  if (!pool.isSuspect()) return undefined;
  const newest = currentPeriod();
  const tallies = new Map<string, Tally>();
  for (let back = 0; back < WINDOW_PERIODS; back += 1) {
    const firstPeriod = newest - back;
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
  for (const {reporterId, region, slots} of pool.reporters.values()) {
    const slot = slots.find(one => one.period === period);
    if (!slot) continue;
    let tally = tallies.get(reporterId);
    if (!tally)
      tallies.set(reporterId, (tally = {region, ...zeroPooledCounts()}));
    addCounts(tally, slot);
  }
}

function computeTallyVerdict(
  tallies: readonly Tally[],
  options: VerdictOptions,
): Omit<Verdict, 'firstPeriod'> | undefined {
  const needed = Math.min(MIN_REPORTERS, options.liveInstances);
  if (tallies.length < needed) return undefined;
  const leavesOut = options.liveInstances >= MIN_REPORTERS;
  const evidence = faultSum(tallies, leavesOut);
  const threshold = FAULTY_THRESHOLD / (options.halved ? 2 : 1);
  if (
    evidence >= threshold &&
    !anyRegionContradicts(tallies, contradictsFaults)
  ) {
    return {reason: 'faults', badness: 1 + evidence / FAULTY_THRESHOLD};
  }
  if (!options.judgesLatency) return undefined;
  const latency = latencySum(tallies, leavesOut);
  if (!isSlow(latency, options.halved)) return undefined;
  if (anyRegionContradicts(tallies, contradictsSlowness)) return undefined;
  const badness = latency.slowSamples / latency.latencySamples;
  return {reason: 'latency', badness};
}

/** Evidence of faults, without the most damaging reporter if asked for. */
function faultSum(tallies: readonly Tally[], leavesOut: boolean): number {
  let sum = 0;
  let worst = 0;
  for (const tally of tallies) {
    const evidence = Math.max(-MAX_HEALTHY_EVIDENCE, faultEvidence(tally));
    sum += evidence;
    worst = Math.max(worst, evidence);
  }
  return leavesOut ? sum - worst : sum;
}

function latencySum(
  tallies: readonly Tally[],
  leavesOut: boolean,
): LatencyCounts {
  const sum = zeroPooledCounts();
  let worst: Tally | undefined;
  for (const tally of tallies) {
    addCounts(sum, tally);
    if (tally.slowSamples > (worst?.slowSamples ?? 0)) worst = tally;
  }
  if (!leavesOut || !worst) return sum;
  addCounts(sum, worst, -1);
  return sum;
}

/**
 * Whether the reporters of one region observed a healthy server: then the fault
 * is in the network path from the other regions.
 */
function anyRegionContradicts(
  tallies: readonly Tally[],
  denies: (counts: PooledCounts) => boolean,
): boolean {
  const regions = new Map<string, PooledCounts>();
  for (const tally of tallies) {
    const sum = regions.get(tally.region) ?? zeroPooledCounts();
    addCounts(sum, tally);
    regions.set(tally.region, sum);
  }
  return [...regions.values()].some(denies);
}

function contradictsFaults(counts: PooledCounts): boolean {
  return faultEvidence(counts) <= HEALTHY_THRESHOLD;
}
