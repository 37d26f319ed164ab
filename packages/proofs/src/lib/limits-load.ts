/** Seeded Poisson arrivals, spread over the instances of a fleet. */
import type {FleetInstance, LimitsFleet} from './limits-fleet.js';
import {pickRandom} from './limits-random.js';

export interface TeamLoad {
  teamName: string;
  requestsPerSecond: number;
  durationMs: number;
  /** Fraction of requests to the first instance; the rest go to random ones. */
  skew?: number;
}

/** Schedules the arrivals; they occur as the fleet's time advances. */
export function scheduleArrivals(fleet: LimitsFleet, load: TeamLoad): void {
  const endAtMs = performance.now() + load.durationMs;
  const scheduleNext = () => {
    const gapMs =
      (-Math.log(1 - fleet.random()) * 1000) / load.requestsPerSecond;
    const arriveAtMs = performance.now() + gapMs;
    if (arriveAtMs > endAtMs) return;
    setTimeout(() => {
      const instance = pickInstance(fleet, load.skew ?? 0);
      if (instance) fleet.offerRequest(instance, load.teamName);
      scheduleNext();
    }, gapMs);
  };
  scheduleNext();
}

function pickInstance(
  fleet: LimitsFleet,
  skew: number,
): FleetInstance | undefined {
  const live = fleet.liveInstances();
  if (live.length === 0) return undefined;
  return fleet.random() < skew ? live[0] : pickRandom(fleet.random, live);
}
