/** P5: no team exceeds its rate and burst, summed over the fleet. */
import {checkWithinLimits} from './limits-checker.js';
import {scheduleFaults} from './limits-faults.js';
import type {FaultKind} from './limits-faults.js';
import {LimitsFleet} from './limits-fleet.js';
import type {LimitsFleetOptions} from './limits-fleet.js';
import {scheduleArrivals} from './limits-load.js';
import {randomBetween, seededRandom} from './limits-random.js';
import type {TeamLimits} from './mutable-configuration.js';
import {SimulatedClock} from './simulated-clock.js';

export interface SafetyRunOptions {
  seed: number;
  instances: number;
  durationMs: number;
  faultKinds: readonly FaultKind[];
  faultCount: number;
  /** Load of each team as a multiple of its rate. */
  overload: number;
  createLimiter?: LimitsFleetOptions['createLimiter'];
}

/** Teams of the sizes in the deployments; some have less than a token per instance. */
export function mixedTeams(seed: number): TeamLimits[] {
  const random = seededRandom(seed ^ 0x5eed);
  return [
    {name: 'single', ratePerSecond: 1, burstTokens: 1},
    {name: 'small', ratePerSecond: randomBetween(random, 1, 5), burstTokens: 3},
    {
      name: 'middle',
      ratePerSecond: 40,
      burstTokens: randomBetween(random, 5, 60),
    },
    {name: 'large', ratePerSecond: 150, burstTokens: 150},
  ];
}

// The buckets of these teams fill up within this time, so that the load that
// follows can use every token that the fleet may hold.
const IDLE_MS = 2500;

/** Runs a fleet under load and faults; rejects, with the seed, if P5 is violated. */
export async function runSafety(options: SafetyRunOptions): Promise<void> {
  const {seed, durationMs, faultKinds, faultCount} = options;
  const clock = SimulatedClock.install();
  try {
    const teams = mixedTeams(seed);
    const fleet = LimitsFleet.create({...options, clock, teams});
    scheduleFaults(fleet, faultKinds, faultCount, durationMs);
    for (const team of teams) scheduleLoad(fleet, team, options);
    await fleet.advance(durationMs);
    for (const team of teams) checkWithinLimits(fleet.history, team);
  } catch (error) {
    throw new Error(`seed ${seed}: ${String(error)}`);
  } finally {
    clock.uninstall();
  }
}

/** Schedules alternating periods of overload and of no load. */
function scheduleLoad(
  fleet: LimitsFleet,
  team: TeamLimits,
  {overload, durationMs}: SafetyRunOptions,
): void {
  let atMs = IDLE_MS;
  while (atMs < durationMs) {
    const loadMs = randomBetween(fleet.random, 500, 4000);
    const load = {
      teamName: team.name,
      requestsPerSecond: team.ratePerSecond * overload,
      durationMs: loadMs,
      skew: fleet.random() < 0.5 ? 0.8 : 0,
    };
    setTimeout(() => scheduleArrivals(fleet, load), atMs);
    atMs += loadMs + randomBetween(fleet.random, 0, IDLE_MS);
  }
}
