/**
 * Requests that crash servers: once three runs of servers have ended under one,
 * it reaches at most three more, counted over all instances from the time in
 * which instances reach each other on. Arrivals from instances that had a fault
 * within that time don't count. Harmless requests are not held back, even if a
 * tenth of the servers goes down under them at once.
 */
import {CrashFleet} from './crash-fleet.js';
import type {CrashDemand, CrashVariant} from './crash-fleet.js';
import {FakeTime} from './fake-time.js';
import {scheduleZoneFaults} from './zone-faults.js';
import type {ZoneFault} from './zone-faults.js';

export interface CrashScenario {
  demands: readonly CrashDemand[];
  faults: readonly ZoneFault[];
  /** Times at which a tenth of the servers goes down. */
  outagesAtMs: readonly number[];
  instancesPerZone?: number;
  holdMs?: number;
  runMs?: number;
  variant?: CrashVariant;
}

export interface CrashReport {
  /** One line for each request with too many arrivals. */
  violations: string[];
  /** Servers that went down under requests that crash them, by target. */
  crashes: Record<string, number>;
  /** Arrivals that count, by target. */
  lateArrivals: Record<string, number>;
  /** Harmless requests that were sent, and those refused among them. */
  harmless: number;
  harmlessRefused: number;
  /** Those that lost a server and found no other. */
  harmlessFailed: number;
  /** Harmless requests refused later than the clearance takes. */
  refusedAfterClearance: number;
  messages: number;
}

const ZONES_BY_REGION = {
  r1: ['z1', 'z2', 'z3'],
  r2: ['z4', 'z5', 'z6'],
  r3: ['z7', 'z8', 'z9'],
};
const INSTANCES_PER_ZONE = 15;
const SERVERS = 60;
const OUTAGE_SHARE = 0.1;
const COUNTED_CRASHES = 3;
const CONTACT_MS = 3000;
const MAX_LATE_ARRIVALS = 3;
const RUN_MS = 24_000;
const HOLD_MS = 300_000;
// A request that was wrongly held is free again within this time.
const CLEARANCE_MS = 1000;
const CRASH_MESSAGES = ['crash.tell', 'crash.sync', 'crash.trial'];

/** Runs the scenario on a paused clock. */
export async function runCrashes(
  scenario: CrashScenario,
  seed: number,
): Promise<CrashReport> {
  const time = FakeTime.install();
  try {
    const startedAtMs = performance.now();
    const fleet = CrashFleet.create({
      seed,
      variant: scenario.variant ?? 'exchanged',
      zonesByRegion: ZONES_BY_REGION,
      instancesPerZone: scenario.instancesPerZone ?? INSTANCES_PER_ZONE,
      serverCount: SERVERS,
      demands: scenario.demands,
      holdMs: scenario.holdMs ?? HOLD_MS,
    });
    scheduleZoneFaults(fleet.zones, scenario.faults, seed);
    for (const atMs of scenario.outagesAtMs) {
      setTimeout(() => fleet.crashServers(OUTAGE_SHARE), atMs);
    }
    await time.advance(scenario.runMs ?? RUN_MS);
    const outages = scenario.outagesAtMs.map(atMs => startedAtMs + atMs);
    return createReport(fleet, scenario, outages);
  } finally {
    time.uninstall();
  }
}

/** Rejects if a request reached too many servers. */
export async function checkCrashes(
  scenario: CrashScenario,
  seed: number,
): Promise<CrashReport> {
  const report = await runCrashes(scenario, seed);
  if (report.violations.length === 0) return report;
  throw new Error(`seed ${seed}: ${report.violations.join('; ')}`);
}

function createReport(
  fleet: CrashFleet,
  {demands}: CrashScenario,
  outages: readonly number[],
): CrashReport {
  const crashing = demands.filter(({crashes}) => crashes);
  const lateArrivals: Record<string, number> = {};
  const crashes: Record<string, number> = {};
  for (const {target} of crashing) {
    crashes[target] = fleet.crashesAtMs.get(target)?.length ?? 0;
    lateArrivals[target] = countLateArrivals(fleet, target);
  }
  const harmlessTargets = new Set(
    demands.filter(demand => !demand.crashes).map(({target}) => target),
  );
  const harmless = fleet.requests.filter(({target}) =>
    harmlessTargets.has(target),
  );
  const refused = harmless.filter(({result}) => result === 'refused');
  const isFresh = (atMs: number) =>
    outages.some(startMs => atMs >= startMs && atMs < startMs + CLEARANCE_MS);
  return {
    violations: Object.entries(lateArrivals)
      .filter(([, count]) => count > MAX_LATE_ARRIVALS)
      .map(([target, count]) => `${target} arrived ${count} times more`),
    crashes,
    lateArrivals,
    harmless: harmless.length,
    harmlessRefused: refused.length,
    harmlessFailed: harmless.filter(({result}) => result === 'failed').length,
    refusedAfterClearance: refused.filter(({atMs}) => !isFresh(atMs)).length,
    messages: CRASH_MESSAGES.reduce(
      (sum, kind) => sum + (fleet.network.deliveredByKind.get(kind) ?? 0),
      0,
    ),
  };
}

function countLateArrivals(fleet: CrashFleet, target: string): number {
  const thirdAtMs = fleet.crashesAtMs.get(target)?.[COUNTED_CRASHES - 1];
  if (thirdAtMs === undefined) return 0;
  return fleet.arrivals.filter(
    arrival =>
      arrival.target === target &&
      arrival.atMs >= thirdAtMs + CONTACT_MS &&
      arrival.calmForMs >= CONTACT_MS,
  ).length;
}
