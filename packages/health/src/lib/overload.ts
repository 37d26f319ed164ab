/**
 * The overload rule: when over half of the servers look bad in the same time,
 * the cause is the load or something that they share, and none is ejected.
 */
import type {EvidencePool} from './evidence-pool.js';
import {faultEvidence} from './fault-test.js';
import {leansSlow} from './latency-test.js';

export function isOverload(
  pools: readonly EvidencePool[],
  firstPeriod: number,
): boolean {
  let seen = 0;
  let bad = 0;
  for (const pool of pools) {
    const {successes, faults, latencySamples, slowSamples} =
      pool.totalSince(firstPeriod);
    if (successes + faults + latencySamples === 0) continue;
    seen += 1;
    const looksBad =
      faultEvidence(successes, faults) > 0 ||
      leansSlow(latencySamples, slowSamples);
    if (looksBad) bad += 1;
  }
  return bad > seen / 2;
}
