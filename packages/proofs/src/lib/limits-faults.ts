/** Seeded schedules of faults for a fleet of limiters. */
import type {LimitsFleet} from './limits-fleet.js';
import {between, pick} from './limits-random.js';

const FAULTS = {
  crash: (fleet: LimitsFleet) => {
    if (fleet.live().length > 3) fleet.crash(pick(fleet.random, fleet.live()));
  },
  join: (fleet: LimitsFleet) => {
    fleet.addInstance();
  },
  replace: (fleet: LimitsFleet) => {
    fleet.addInstance();
    void fleet.stop(pick(fleet.random, fleet.live()));
  },
  pause: (fleet: LimitsFleet) => {
    const durationMs = between(fleet.random, 20, 5000);
    fleet.freeze(pick(fleet.random, fleet.live()), durationMs);
  },
  cut: (fleet: LimitsFleet) => {
    const from = pick(fleet.random, fleet.live());
    const to = pick(fleet.random, fleet.live());
    if (from !== to) fleet.cut(from, to, between(fleet.random, 100, 6000));
  },
  outage: (fleet: LimitsFleet) => {
    fleet.outage(between(fleet.random, 100, 8000));
  },
  lostAnswers: (fleet: LimitsFleet) => {
    fleet.table.lostAnswers += 2;
  },
  lateWrites: (fleet: LimitsFleet) => {
    fleet.tableFaults.lateWrites += 2;
  },
  messages: (fleet: LimitsFleet) => {
    fleet.messageFaults.duplicated = between(fleet.random, 0, 0.5);
    fleet.messageFaults.late = between(fleet.random, 0, 0.5);
  },
};

export type FaultKind = keyof typeof FAULTS;

export const ALL_FAULTS = Object.keys(FAULTS) as FaultKind[];

/**
 * Schedules `count` faults of the given kinds within the next `durationMs`.
 * Faults overlap, and the same kind may strike again before it ended.
 */
export function scheduleFaults(
  fleet: LimitsFleet,
  kinds: readonly FaultKind[],
  count: number,
  durationMs: number,
): void {
  for (let index = 0; index < count; index += 1) {
    const kind = pick(fleet.random, kinds);
    const delayMs = between(fleet.random, 0, durationMs);
    setTimeout(() => FAULTS[kind](fleet), delayMs);
  }
}
