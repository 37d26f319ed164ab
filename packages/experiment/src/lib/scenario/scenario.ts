/** The scenarios of the command line: faults and load by scenario name. */
import {INSTANCES} from '../fleet/deployment.js';
import type {FakeBackend} from '../fleet/fake-backend.js';
import {TEAM_DEMAND_PER_SECOND} from '../fleet/fleet-configuration.js';
import type {FleetRun, ScenarioScript} from '../fleet/fleet-run.js';

const SLOW_FACTOR = 10;
const WRONG_RATIO = 0.3;
const FLAP_INTERVAL_MS = 3000;
const SERVICE_SLOW_FACTOR = 3;
const OVERLOAD_FACTOR = 5;
const SKEWED_FRACTION = 0.8;
const REPLACEMENT_INTERVAL_MS = 2000;
const COLD_START_MS = 5000;
const PARTITION_AT_MS = 1000;

/** Injects the fault into one random server of each service. */
function breakOneServerPerService(
  run: FleetRun,
  change: Partial<FakeBackend>,
): void {
  for (const backend of pickOneServerPerService(run))
    run.injectFault(backend, change);
}

function pickOneServerPerService(run: FleetRun): FakeBackend[] {
  return [...run.configuration.services.keys()].map(name => {
    const servers = run.serversOf(name);
    return servers[Math.floor(run.random() * servers.length)]!;
  });
}

function toggleErrors(
  run: FleetRun,
  backend: FakeBackend,
  faulty: boolean,
): void {
  backend.errorRatio = faulty ? 1 : 0;
  run.schedule(FLAP_INTERVAL_MS, () => toggleErrors(run, backend, !faulty));
}

function replaceInstancesInTurn(run: FleetRun, index: number): void {
  run.replaceInstance(index % INSTANCES);
  run.schedule(REPLACEMENT_INTERVAL_MS, () =>
    replaceInstancesInTurn(run, index + 1),
  );
}

function partitionRegion(run: FleetRun, partitioned: boolean): void {
  const [, region] = [
    ...new Set(run.network.identities().map(identity => identity.region)),
  ];
  for (const from of run.network.identities()) {
    for (const to of run.network.identities()) {
      if ((from.region === region) === (to.region === region)) continue;
      if (partitioned) run.network.cut(from.instanceId, to.instanceId);
      else run.network.heal(from.instanceId, to.instanceId);
    }
  }
}

const QUIET: ScenarioScript = {durationMs: 15_000, start: () => undefined};

export const SCENARIOS: Readonly<Record<string, ScenarioScript>> = {
  quiet: QUIET,
  'gray-slow': {
    durationMs: 10_000,
    start: run => breakOneServerPerService(run, {slowFactor: SLOW_FACTOR}),
  },
  'wrong-answers': {
    durationMs: 10_000,
    start: run => breakOneServerPerService(run, {wrongRatio: WRONG_RATIO}),
  },
  flapping: {
    durationMs: 30_000,
    start(run) {
      for (const backend of pickOneServerPerService(run)) {
        run.injectFault(backend, {});
        toggleErrors(run, backend, true);
      }
    },
  },
  'service-slow': {
    durationMs: 10_000,
    start(run) {
      const [name] = run.configuration.services.keys();
      // Not `injectFault`: an ejection of a server of a service that is slow on
      // all its servers counts as a false one.
      for (const backend of run.serversOf(name!)) {
        backend.slowFactor = SERVICE_SLOW_FACTOR;
      }
    },
  },
  'team-5x': {
    durationMs: 15_000,
    start(run) {
      const rate = run.configuration.teams.get('team-3')!.ratePerSecond;
      run.arrivals.setDemand('team-3', rate * OVERLOAD_FACTOR);
    },
  },
  'team-skew': {
    durationMs: 15_000,
    start(run) {
      Object.keys(TEAM_DEMAND_PER_SECOND).forEach((name, index) =>
        run.arrivals.skewToInstance(name, index * 5, SKEWED_FRACTION),
      );
    },
  },
  replacement: {
    durationMs: 20_000,
    start: run => replaceInstancesInTurn(run, 0),
  },
  'table-outage': {
    durationMs: 20_000,
    start(run) {
      run.table.unavailable = true;
    },
  },
  'cold-starts': {
    durationMs: 10_000,
    start(run) {
      for (const backend of pickOneServerPerService(run)) {
        backend.coldUntilMs = performance.now() + COLD_START_MS;
      }
    },
  },
  'region-cut': {
    durationMs: 15_000,
    start: run =>
      run.schedule(PARTITION_AT_MS, () => partitionRegion(run, true)),
  },
};
