/**
 * P1 for limits that backend servers name: all instances together send a server
 * no more than its limit allows, through restarts, cuts, suspensions and changes
 * of leaders, and limits that rise, fall and end.
 *
 * Every arrival counts, whichever instance sent it: operators allow one and a
 * half times the limit and five requests in any four seconds. The instances have
 * half a second to learn of a limit.
 */
import {FakeTime} from './fake-time.js';
import {LimitFleet} from './limit-fleet.js';
import type {LimitDemand, LimitVariant} from './limit-fleet.js';
import {findLimit} from './limit-server.js';
import type {LimitPhase, LimitServer} from './limit-server.js';
import {scheduleZoneFaults} from './zone-faults.js';
import type {ZoneFault} from './zone-faults.js';

export interface LimitScenario {
  /** Limits that the first servers name, relative to the start of the run. */
  limited: readonly (readonly LimitPhase[])[];
  /** Servers that never name a limit. */
  unlimitedServers: number;
  demands: readonly LimitDemand[];
  faults: readonly ZoneFault[];
  variant?: LimitVariant;
}

export interface LimitReport {
  /** One line for each window with too many arrivals. */
  violations: string[];
  /** Arrivals at the limited servers, as a share of what their limits allow. */
  usedShare: number;
  requests: LimitFleet['requests'];
}

const ZONES_BY_REGION = {
  r1: ['z1', 'z2', 'z3'],
  r2: ['z4', 'z5', 'z6'],
  r3: ['z7', 'z8', 'z9'],
};
const INSTANCES_PER_ZONE = 15;
const RUN_MS = 24_000;
const REJECTED_SHARE = 0.1;
const WINDOW_MS = 4000;
const RATE_TOLERANCE = 1.5;
const SLACK_REQUESTS = 5;
const LEARN_MS = 500;

export const ORDINARY_DEMAND: LimitDemand = {
  team: 'north',
  rank: 1,
  requestsPerSecond: 47,
};

/** Runs the scenario on a paused clock. */
export async function runLimits(
  scenario: LimitScenario,
  seed: number,
): Promise<LimitReport> {
  const time = FakeTime.install();
  try {
    const startedAtMs = performance.now();
    const limited = scenario.limited.map(phases =>
      phases.map(phase => ({...phase, fromMs: startedAtMs + phase.fromMs})),
    );
    const unlimited: LimitPhase[][] = Array.from(
      {length: scenario.unlimitedServers},
      () => [],
    );
    const fleet = LimitFleet.create({
      seed,
      variant: scenario.variant ?? 'granted',
      zonesByRegion: ZONES_BY_REGION,
      instancesPerZone: INSTANCES_PER_ZONE,
      servers: [...limited, ...unlimited],
      demands: scenario.demands,
      rejectedShare: REJECTED_SHARE,
    });
    scheduleZoneFaults(fleet.zones, scenario.faults, seed);
    await time.advance(RUN_MS);
    return createReport(fleet, performance.now());
  } finally {
    time.uninstall();
  }
}

/** Rejects if a server got more than its limit allows. */
export async function checkLimits(
  scenario: LimitScenario,
  seed: number,
): Promise<void> {
  const {violations} = await runLimits(scenario, seed);
  if (violations.length === 0) return;
  throw new Error(`seed ${seed}: ${violations.join('; ')}`);
}

function createReport(fleet: LimitFleet, endMs: number): LimitReport {
  const limited = fleet.servers.filter(({phases}) => phases.length > 0);
  let arrivals = 0;
  let allowed = 0;
  for (const server of limited) {
    const [first] = server.phases;
    const fromMs = first!.fromMs + LEARN_MS;
    arrivals += server.arrivals.filter(({atMs}) => atMs >= fromMs).length;
    for (let atMs = fromMs; atMs < endMs; atMs += 100) {
      allowed += (findLimit(server.phases, atMs) ?? 0) / 10;
    }
  }
  return {
    violations: limited.flatMap(findViolations),
    usedShare: arrivals / allowed,
    requests: fleet.requests,
  };
}

/** Returns the worst window of the server if its arrivals exceed the limit. */
function findViolations(server: LimitServer): string[] {
  let worst = '';
  let worstExcess = 0;
  for (const {atMs: startMs} of server.arrivals) {
    const highest = highestLimit(server, startMs - LEARN_MS);
    if (highest === undefined) continue;
    const arrivals = server.arrivals.filter(
      ({atMs}) => atMs >= startMs && atMs < startMs + WINDOW_MS,
    ).length;
    const allowed =
      RATE_TOLERANCE * highest * (WINDOW_MS / 1000) + SLACK_REQUESTS;
    if (arrivals - allowed <= worstExcess) continue;
    worstExcess = arrivals - allowed;
    worst = `${server.serverId} got ${arrivals} requests in 4 s, allowed ${allowed}`;
  }
  return worst === '' ? [] : [worst];
}

/**
 * The highest limit that the server named in the window after `fromMs`;
 * undefined if for a part of it there was none.
 */
function highestLimit(server: LimitServer, fromMs: number): number | undefined {
  const untilMs = fromMs + LEARN_MS + WINDOW_MS;
  const phases = effectivePhases(server);
  const atStart = findLimit(phases, fromMs);
  const changes = phases.filter(
    phase => phase.fromMs > fromMs && phase.fromMs < untilMs,
  );
  const limits = [
    atStart,
    ...changes.map(({requestsPerSecond}) => requestsPerSecond),
  ];
  if (limits.includes(undefined)) return undefined;
  return Math.max(...limits.map(Number));
}

/** The phases as instances know them; a limit ends when the server ends it. */
function effectivePhases({phases, namedPhases}: LimitServer): LimitPhase[] {
  const ends = phases.filter(
    ({requestsPerSecond}) => requestsPerSecond === undefined,
  );
  const named = namedPhases.filter(
    ({requestsPerSecond}) => requestsPerSecond !== undefined,
  );
  return [...ends, ...named].sort((a, b) => a.fromMs - b.fromMs);
}
