/** Seeded arrivals at a fleet: exponential gaps, spread over the instances. */
import type {FleetInstance, LimitsFleet} from './limits-fleet.js';
import {pick} from './limits-random.js';

export interface TeamLoad {
  teamName: string;
  requestsPerSecond: number;
  durationMs: number;
  /** Fraction of the requests that go to one instance; the rest spreads. */
  skew?: number;
}

/** Schedules the arrivals; they come while the fleet advances. */
export function offerLoad(fleet: LimitsFleet, load: TeamLoad): void {
  const endAtMs = performance.now() + load.durationMs;
  const next = () => {
    const gapMs =
      (-Math.log(1 - fleet.random()) * 1000) / load.requestsPerSecond;
    const arriveAtMs = performance.now() + gapMs;
    if (arriveAtMs > endAtMs) return;
    setTimeout(() => {
      const instance = chooseInstance(fleet, load.skew ?? 0);
      if (instance) fleet.offer(instance, load.teamName);
      next();
    }, gapMs);
  };
  next();
}

function chooseInstance(
  fleet: LimitsFleet,
  skew: number,
): FleetInstance | undefined {
  const live = fleet.live();
  if (live.length === 0) return undefined;
  return fleet.random() < skew ? live[0] : pick(fleet.random, live);
}
