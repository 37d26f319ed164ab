/** Seeded fault schedules for a fleet of limiters. */
import type {LimitsFleet} from './limits-fleet.js';
import {randomBetween, pickRandom} from './limits-random.js';

const FAULTS = {
  crash: (fleet: LimitsFleet) => {
    if (fleet.liveInstances().length > 3)
      fleet.crash(pickRandom(fleet.random, fleet.liveInstances()));
  },
  join: (fleet: LimitsFleet) => {
    fleet.addInstance();
  },
  replace: (fleet: LimitsFleet) => {
    fleet.addInstance();
    void fleet.stop(pickRandom(fleet.random, fleet.liveInstances()));
  },
  pause: (fleet: LimitsFleet) => {
    const durationMs = randomBetween(fleet.random, 20, 5000);
    fleet.freeze(pickRandom(fleet.random, fleet.liveInstances()), durationMs);
  },
  cut: (fleet: LimitsFleet) => {
    const from = pickRandom(fleet.random, fleet.liveInstances());
    const to = pickRandom(fleet.random, fleet.liveInstances());
    if (from !== to)
      fleet.dropMessages(from, to, randomBetween(fleet.random, 100, 6000));
  },
  outage: (fleet: LimitsFleet) => {
    fleet.startTableOutage(randomBetween(fleet.random, 100, 8000));
  },
  lostAnswers: (fleet: LimitsFleet) => {
    fleet.table.lostAnswers += 2;
  },
  lateWrites: (fleet: LimitsFleet) => {
    fleet.tableFaults.lateWrites += 2;
  },
  messages: (fleet: LimitsFleet) => {
    fleet.messageFaults.duplicatedFraction = randomBetween(
      fleet.random,
      0,
      0.5,
    );
    fleet.messageFaults.delayedFraction = randomBetween(fleet.random, 0, 0.5);
  },
};

export type FaultKind = keyof typeof FAULTS;

export const ALL_FAULT_KINDS = Object.keys(FAULTS) as FaultKind[];

/**
 * Schedules `count` faults of random kinds among `kinds` at random moments of
 * the next `durationMs`. Faults may overlap, also those of the same kind.
 */
export function scheduleFaults(
  fleet: LimitsFleet,
  kinds: readonly FaultKind[],
  count: number,
  durationMs: number,
): void {
  for (let index = 0; index < count; index += 1) {
    const kind = pickRandom(fleet.random, kinds);
    const delayMs = randomBetween(fleet.random, 0, durationMs);
    setTimeout(() => FAULTS[kind](fleet), delayMs);
  }
}
