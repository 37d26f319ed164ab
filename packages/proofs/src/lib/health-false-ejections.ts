/** Conditions under which no server may be ejected (section 1.2 of the design). */
import {findEjections} from './health-checkers.js';
import type {SelectorVariant} from './health-fake-instance.js';
import {HealthFleet, SERVICE_NAME, TUNISIA_FLEET} from './health-fleet.js';
import type {HealthFleetOptions} from './health-fleet.js';
import type {SeededRun} from './seeds.js';

export interface HealthyCondition {
  name: string;
  options?: Partial<HealthFleetOptions>;
  /** Applies the condition to a warmed-up fleet for its whole duration. */
  apply(fleet: HealthFleet): Promise<void>;
}

const WARM_UP_MS = 3000;
const CONDITION_MS = 6000;
const OBSERVATION_MS = 3000;
const INSTANCES = 20;
const COLD_START_MS = 4000;

// Capacity of the fleet: 12 servers x 4 slots / 20 ms = 2,400 requests/s.
const FULL_RATE_PER_SECOND = 2400;

export const HEALTHY_CONDITIONS: readonly HealthyCondition[] = [
  {
    name: 'load at 95% of the slots',
    options: {ratePerSecond: 0.95 * FULL_RATE_PER_SECOND},
    apply: fleet => fleet.advance(CONDITION_MS),
  },
  {
    name: 'a pause of 200 ms of one instance',
    apply: async fleet => {
      for (let pause = 0; pause < 10; pause += 1) {
        pickRandom(fleet, fleet.instances).scheduler.pause(200);
        await fleet.advance(600 + Math.floor(fleet.random() * 50));
      }
    },
  },
  {
    name: 'a slow link between two regions',
    apply: async fleet => {
      fleet.setLinkDelay('nord', 'sahel', 80);
      await fleet.advance(CONDITION_MS);
      fleet.setLinkDelay('nord', 'sahel', 0);
    },
  },
  {
    name: 'slow links to one region',
    apply: async fleet => {
      fleet.setLinkDelay('nord', 'sahel', 80);
      fleet.setLinkDelay('sud', 'sahel', 80);
      await fleet.advance(CONDITION_MS);
    },
  },
  {
    name: 'a slowdown of the whole service',
    apply: fleet => slowDownAll(fleet, 5),
  },
  {
    name: 'a slowdown of the whole service beyond its capacity',
    apply: fleet => slowDownAll(fleet, 20),
  },
  {
    name: 'cold starts of servers in place',
    apply: async fleet => {
      for (const serverId of fleet.serverIds().slice(0, 3)) {
        fleet.servers.get(serverId)!.beginColdStart(COLD_START_MS);
      }
      await fleet.advance(CONDITION_MS);
    },
  },
  {
    name: 'cold starts of new servers',
    apply: async fleet => {
      fleet.addServer(COLD_START_MS);
      fleet.addServer(COLD_START_MS);
      await fleet.advance(CONDITION_MS);
    },
  },
  {
    name: 'shedding by one server and then by all',
    apply: async fleet => {
      const ids = fleet.serverIds();
      fleet.setFaults(ids[0]!, {shedShare: 0.7});
      await fleet.advance(CONDITION_MS / 2);
      for (const id of ids) fleet.setFaults(id, {shedShare: 0.7});
      await fleet.advance(CONDITION_MS / 2);
    },
  },
  {
    name: 'errors caused by callers',
    options: {callerErrorShare: 0.5},
    apply: fleet => fleet.advance(CONDITION_MS),
  },
  {
    name: 'one reporter that lies about a server',
    apply: fleet => falsifyReportsOnFirstServer(fleet),
  },
  {
    name: 'one instance with a cut path to a server',
    apply: async fleet => {
      const {instanceId} = pickRandom(fleet, fleet.instances);
      fleet.setPathBlocked(
        instanceId,
        pickRandom(fleet, fleet.serverIds()),
        true,
      );
      await fleet.advance(CONDITION_MS);
    },
  },
];

/** Rejects with the seed if any server is ejected under the condition. */
export async function checkNoEjection(
  condition: HealthyCondition,
  seed: number,
  variant: SelectorVariant = 'pooled',
): Promise<void> {
  const base = {...TUNISIA_FLEET, instances: INSTANCES, seed, variant};
  await HealthFleet.run({...base, ...condition.options}, async fleet => {
    await fleet.advance(WARM_UP_MS);
    await condition.apply(fleet);
    await fleet.advance(OBSERVATION_MS);
    const ejections = findEjections(fleet.history);
    if (ejections.length === 0) return;
    throw new Error(
      `seed ${seed}: ${ejections.length} ejections under ` +
        `"${condition.name}", the first at ${ejections[0]}`,
    );
  });
}

async function slowDownAll(fleet: HealthFleet, factor: number): Promise<void> {
  for (const id of fleet.serverIds()) {
    fleet.setFaults(id, {slowFactor: factor});
  }
  await fleet.advance(CONDITION_MS);
  for (const id of fleet.serverIds()) fleet.setFaults(id, {slowFactor: 1});
}

/**
 * Lets one instance report faults, slow responses and an ejection of the first
 * server, and then that it is draining.
 */
async function falsifyReportsOnFirstServer(fleet: HealthFleet): Promise<void> {
  const {network} = pickRandom(fleet, fleet.instances);
  for (const state of [2, 1]) {
    network.rewritePayload = (_kind, payload) =>
      replaceEntry(payload, [0, state, 9, 1000, 0, 500, 500, 0, 500, 500, 500]);
    await fleet.advance(CONDITION_MS / 2);
  }
}

function replaceEntry(payload: unknown, entry: number[]): unknown {
  const frame = payload as [string, number, number[][]][];
  return frame.map(([name, digest, entries]) => {
    if (name !== SERVICE_NAME) return [name, digest, entries];
    const others = entries.filter(other => other[0] !== entry[0]);
    return [name, digest, [entry, ...others]];
  });
}

function pickRandom<T>(fleet: HealthFleet, items: readonly T[]): T {
  return items[Math.floor(fleet.random() * items.length)]!;
}

export const HEALTH_FALSE_EJECTION_RUNS: readonly SeededRun[] =
  HEALTHY_CONDITIONS.map(condition => ({
    name: `no ejection under ${condition.name}`,
    run: seed => checkNoEjection(condition, seed),
  }));
