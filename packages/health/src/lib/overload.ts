/**
 * The overload rule: when more than half of the servers look unhealthy at the
 * same time, the cause is load or a shared dependency, and none is ejected.
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

// With fewer others in the region, a slow link looks like a slow server.
const MIN_OTHERS_IN_REGION = 2;

/** Whether an overload or a slow link explains the evidence on `server`. */
export function isOverload(
  server: ServerHealth,
  verdict: Verdict,
  options: OverloadOptions,
): boolean {
  const windowStart = currentPeriod() - WINDOW_PERIODS + 1;
  // Timeouts of an overload continue for a while after most servers recover.
  for (const firstPeriod of [verdict.firstPeriod, windowStart]) {
    if (mostLookUnhealthy(options.usable, firstPeriod)) return true;
  }
  if (verdict.reason !== 'latency') return false;
  // A network link to the region that has just become slow has the same effect.
  const region = options.regionOf(server);
  const othersInRegion = options.usable.filter(
    other => other !== server && options.regionOf(other) === region,
  );
  if (othersInRegion.length < MIN_OTHERS_IN_REGION) return false;
  return mostLookUnhealthy(othersInRegion, verdict.firstPeriod);
}

function mostLookUnhealthy(
  servers: readonly ServerHealth[],
  firstPeriod: number,
): boolean {
  let tested = 0;
  let unhealthy = 0;
  for (const {pool} of servers) {
    const total = pool.totalSince(firstPeriod);
    if (countResponses(total) + total.latencySamples === 0) continue;
    tested += 1;
    if (looksUnhealthy(total)) unhealthy += 1;
  }
  return unhealthy > tested / 2;
}

function looksUnhealthy(counts: PooledCounts): boolean {
  return faultEvidence(counts) > 0 || hasNotableSlowness(counts);
}
