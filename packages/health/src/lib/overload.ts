/**
 * The overload rule: when over half of the servers look unhealthy at the same
 * time, the cause is the load or a shared dependency, and none is ejected.
 */
import {WINDOW_PERIODS, currentPeriod} from './evidence-pool.js';
import type {PooledCounts} from './evidence-pool.js';
import {countResponses, faultEvidence} from './fault-test.js';
import {hasNotableSlowness} from './latency-test.js';
import type {ServerHealth} from './server-health.js';
import type {Verdict} from './verdict.js';

export interface OverloadOptions {
  usable: readonly ServerHealth[];
  regionOf(server: ServerHealth): string;
}

// With fewer other servers in the region a slow link cannot be told apart.
const MIN_OTHERS_IN_REGION = 2;

/** Whether most other servers show the same evidence as `server`. */
export function isOverload(
  server: ServerHealth,
  verdict: Verdict,
  options: OverloadOptions,
): boolean {
  const windowStart = currentPeriod() - WINDOW_PERIODS + 1;
  // Timeouts of an overload continue for a while after most servers recovered.
  for (const firstPeriod of [verdict.firstPeriod, windowStart]) {
    if (mostLookUnhealthy(options.usable, firstPeriod)) return true;
  }
  if (verdict.reason !== 'latency') return false;
  // A link to the region that has just become slow looks the same.
  const region = options.regionOf(server);
  const near = options.usable.filter(
    other => other !== server && options.regionOf(other) === region,
  );
  if (near.length < MIN_OTHERS_IN_REGION) return false;
  return mostLookUnhealthy(near, verdict.firstPeriod);
}

function mostLookUnhealthy(
  servers: readonly ServerHealth[],
  firstPeriod: number,
): boolean {
  let seen = 0;
  let bad = 0;
  for (const {pool} of servers) {
    const total = pool.totalSince(firstPeriod);
    if (countResponses(total) + total.latencySamples === 0) continue;
    seen += 1;
    if (looksUnhealthy(total)) bad += 1;
  }
  return bad > seen / 2;
}

function looksUnhealthy(counts: PooledCounts): boolean {
  return faultEvidence(counts) > 0 || hasNotableSlowness(counts);
}
