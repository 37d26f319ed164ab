/**
 * P1 for gateways: of the servers that operators count as sound, the fleet as a
 * whole uses at least the floor share at any time.
 *
 * An operator counts a server that failed a request by itself as sound again
 * two seconds later, and as unused if no request reached it in the last two
 * seconds. The servers that the instances use are counted together, because each
 * instance alone sends too few requests to use them all.
 */
import {FakeTime} from './fake-time.js';
import {GatewayFleet} from './gateway-fleet.js';
import type {GatewayVariant} from './gateway-fleet.js';
import {seededRandom} from './health-random.js';

export interface GatewayFloorScenario {
  /** Share of the servers that fail by themselves from the start. */
  failingShare: number;
  /** Share of the instances that restart during the run. */
  restartedShare: number;
  /** Whether zone leaders distribute failures. */
  hasLeaders: boolean;
  requestsPerSecond: number;
  variant?: GatewayVariant;
  /** Whether all requests are one-time work. */
  isOnce?: boolean;
  /** Length of the phases in which servers fail; drawn from a range if absent. */
  phaseMs?: number;
  /**
   * Time between two such phases of a server, which then begins its first at any
   * time; each fails once, from the start, if absent.
   */
  pauseMs?: number;
  serversPerZone?: number;
  instancesPerZone?: number;
  runMs?: number;
}

export const FAILING_SERVERS: GatewayFloorScenario = {
  failingShare: 0.48,
  restartedShare: 0,
  hasLeaders: true,
  requestsPerSecond: 250,
};

const ZONES_BY_REGION = {
  r1: ['z1', 'z2', 'z3'],
  r2: ['z4', 'z5', 'z6'],
  r3: ['z7', 'z8', 'z9'],
};
const INSTANCES_PER_ZONE = 15;
const SERVERS_PER_ZONE = 7;
const FLOOR_SHARE = 0.7;
const FAIL_SHARE = 0.9;
const MIN_PHASE_MS = 6000;
const MAX_PHASE_MS = 14_000;
const RUN_MS = 18_000;
const RESTARTS_FROM_MS = 4000;
const RESTARTS_WITHIN_MS = 6000;
const RESTART_DOWN_MS = 500;
const SOUND_AFTER_FAILURE_MS = 2000;
// The floor is asked for while more requests than this share fail.
const MAX_FAILED_SHARE = 0.1;
const WINDOW_MS = 2000;
const WINDOW_STEP_MS = 250;

export interface FloorReport {
  /** The least share of sound servers that got a request in any window. */
  leastUsedShare: number;
  /**
   * The same in windows in which more requests failed than operators accept
   * without asking for the floor; 1 if there was none.
   */
  leastUsedShareWhileFailing: number;
  /** End of the window of `leastUsedShare`, from the start of the run. */
  atMs: number;
  failedShare: number;
  /**
   * The greatest share of failed requests in any window, without the first one,
   * in which all failing servers are found.
   */
  worstFailedShare: number;
}

/** Runs the scenario on a paused clock. */
export async function runGatewayFloor(
  scenario: GatewayFloorScenario,
  seed: number,
): Promise<FloorReport> {
  const time = FakeTime.install();
  try {
    const startedAtMs = performance.now();
    const fleet = GatewayFleet.create({
      seed,
      variant: scenario.variant ?? 'pooled',
      zonesByRegion: ZONES_BY_REGION,
      instancesPerZone: scenario.instancesPerZone ?? INSTANCES_PER_ZONE,
      serversPerZone: scenario.serversPerZone ?? SERVERS_PER_ZONE,
      isOnce: scenario.isOnce ?? false,
      requestsPerSecond: scenario.requestsPerSecond,
      floorShare: FLOOR_SHARE,
    });
    fleet.hasLeaders = scenario.hasLeaders;
    scheduleFaults(fleet, scenario, seed);
    const runMs = scenario.runMs ?? RUN_MS;
    await time.advance(runMs);
    return createReport(fleet, startedAtMs, runMs);
  } finally {
    time.uninstall();
  }
}

function scheduleFaults(
  fleet: GatewayFleet,
  scenario: GatewayFloorScenario,
  seed: number,
): void {
  const random = seededRandom(seed + 1);
  const nowMs = performance.now();
  for (const server of fleet.servers) {
    if (random() >= scenario.failingShare) continue;
    const drawnMs = MIN_PHASE_MS + random() * (MAX_PHASE_MS - MIN_PHASE_MS);
    const phaseMs = scenario.phaseMs ?? drawnMs;
    const {pauseMs = Infinity, runMs = RUN_MS} = scenario;
    const periodMs = phaseMs + pauseMs;
    const offsetMs = pauseMs === Infinity ? 0 : -random() * periodMs;
    for (let startMs = offsetMs; startMs < runMs; startMs += periodMs) {
      server.addFailurePhase({
        fromMs: nowMs + startMs,
        untilMs: nowMs + startMs + phaseMs,
        failShare: FAIL_SHARE,
      });
    }
  }
  for (const instance of fleet.instances) {
    if (random() >= scenario.restartedShare) continue;
    const delayMs = RESTARTS_FROM_MS + random() * RESTARTS_WITHIN_MS;
    setTimeout(() => fleet.restart(instance, RESTART_DOWN_MS), delayMs);
  }
}

function createReport(
  fleet: GatewayFleet,
  startedAtMs: number,
  runMs: number,
): FloorReport {
  const endMs = startedAtMs + runMs;
  let leastUsedShare = 1;
  let leastUsedShareWhileFailing = 1;
  let atMs = 0;
  let worstFailedShare = 0;
  const firstMs = startedAtMs + SOUND_AFTER_FAILURE_MS;
  for (let fromMs = firstMs; fromMs + WINDOW_MS <= endMs; ) {
    const untilMs = fromMs + WINDOW_MS;
    const sound = fleet.servers.filter(
      server =>
        !server.failedBetween(untilMs - SOUND_AFTER_FAILURE_MS, untilMs),
    );
    const used = sound.filter(server =>
      server.receivedBetween(fromMs, untilMs),
    );
    const usedShare = used.length / sound.length;
    if (usedShare < leastUsedShare) {
      leastUsedShare = usedShare;
      atMs = untilMs - startedAtMs;
    }
    const share = failedShareBetween(fleet, fromMs, untilMs);
    if (share > MAX_FAILED_SHARE) {
      leastUsedShareWhileFailing = Math.min(
        leastUsedShareWhileFailing,
        usedShare,
      );
    }
    worstFailedShare = Math.max(worstFailedShare, share);
    fromMs += WINDOW_STEP_MS;
  }
  const failedShare = failedShareBetween(fleet, startedAtMs, endMs);
  return {
    leastUsedShare,
    leastUsedShareWhileFailing,
    atMs,
    failedShare,
    worstFailedShare,
  };
}

function failedShareBetween(
  fleet: GatewayFleet,
  fromMs: number,
  untilMs: number,
): number {
  const sent = fleet.requests.filter(
    ({sentAtMs}) => sentAtMs >= fromMs && sentAtMs < untilMs,
  );
  const failed = sent.filter(({served}) => !served);
  return failed.length / sent.length;
}

/**
 * Rejects if the fleet used less than the floor share of the sound servers, of
 * one-time requests only while as many failed as operators ask for the floor.
 */
export async function checkGatewayFloor(
  scenario: GatewayFloorScenario,
  seed: number,
): Promise<void> {
  const report = await runGatewayFloor(scenario, seed);
  const usedShare = scenario.isOnce
    ? report.leastUsedShareWhileFailing
    : report.leastUsedShare;
  if (usedShare >= FLOOR_SHARE) return;
  const share = usedShare.toFixed(2);
  throw new Error(
    `seed ${seed}: ${share} of the sound servers got a request within 2 s`,
  );
}
