/**
 * Measures the service to the worst-served team: limiters and fair queues in
 * front of scarce slots while one team sends several times its rate.
 */
import {FairQueue} from '@fireflytrack/limits';
import type {SlotResult} from '@fireflytrack/limits';
import {LimitsFleet} from './limits-fleet.js';
import type {FleetInstance, LimitsFleetOptions} from './limits-fleet.js';
import {randomBetween, pickRandom} from './limits-random.js';
import {countInRateRequests} from './limits-service.js';
import type {TeamLimits} from './mutable-configuration.js';
import {SimulatedClock} from './simulated-clock.js';

/** The queue in which requests wait for a slot. */
export interface SlotQueue {
  acquireSlot(
    serviceName: string,
    teamName: string,
    deadlineAtMs: number,
  ): SlotResult | Promise<SlotResult>;
}

export interface FairnessRunOptions {
  seed: number;
  instances: number;
  durationMs: number;
  /** Load of the first team as a multiple of its rate; the others send 0.9. */
  overload: number;
  /** The limiter under test; the borrowing limiter by default. */
  createLimiter?: LimitsFleetOptions['createLimiter'];
  /** Creates the queue of an instance; a fair queue by default. */
  createQueue?(slots: () => number): SlotQueue;
}

const TEAMS: readonly TeamLimits[] = [
  {name: 'flood', ratePerSecond: 200, burstTokens: 100},
  {name: 'calm', ratePerSecond: 100, burstTokens: 50},
  {name: 'quiet', ratePerSecond: 20, burstTokens: 20},
];
const SERVICE_NAME = 'counting';
// With 25 to 75 ms per request, 4 slots serve 80 requests/s at each instance: a
// fourth more than the sum of the teams' rates over five instances.
const SLOTS_PER_INSTANCE = 4;
const MIN_SERVICE_TIME_MS = 25;
const MAX_SERVICE_TIME_MS = 75;
const DEADLINE_MS = 1000;
const SETTLE_MS = 6000;
const COMPLIANT_DEMAND = 0.9;

/** Returns served / in-rate requests of the worst-served team. */
export async function measureWorstServedFraction(
  options: FairnessRunOptions,
): Promise<number> {
  const clock = SimulatedClock.install();
  try {
    const run = new FairnessRun(options, clock);
    await run.fleet.advance(SETTLE_MS);
    for (const team of TEAMS) run.scheduleArrivals(team);
    await run.fleet.advance(options.durationMs + DEADLINE_MS);
    return run.worstServedFraction();
  } finally {
    clock.uninstall();
  }
}

class FairnessRun {
  readonly fleet: LimitsFleet;
  private readonly queues = new Map<FleetInstance, SlotQueue>();
  private readonly arrivalsMs = new Map<string, number[]>();
  private readonly servedCounts = new Map<string, number>();

  constructor(
    private readonly options: FairnessRunOptions,
    clock: SimulatedClock,
  ) {
    this.fleet = LimitsFleet.create({...options, clock, teams: TEAMS});
    const createFairQueue = (slots: () => number) =>
      FairQueue.create({slotsOf: slots});
    for (const instance of this.fleet.liveInstances()) {
      const queue = (options.createQueue ?? createFairQueue)(
        () => SLOTS_PER_INSTANCE,
      );
      this.queues.set(instance, queue);
    }
  }

  scheduleArrivals(team: TeamLimits): void {
    const {overload, durationMs} = this.options;
    const rateMultiple = team.name === 'flood' ? overload : COMPLIANT_DEMAND;
    const requestsPerSecond = team.ratePerSecond * rateMultiple;
    const endAtMs = performance.now() + durationMs;
    const scheduleNext = () => {
      const gapMs =
        (-Math.log(1 - this.fleet.random()) * 1000) / requestsPerSecond;
      if (performance.now() + gapMs > endAtMs) return;
      setTimeout(() => {
        void this.sendRequest(
          pickRandom(this.fleet.random, this.fleet.liveInstances()),
          team,
        );
        scheduleNext();
      }, gapMs);
    };
    scheduleNext();
  }

  worstServedFraction(): number {
    const fractions = TEAMS.map(team => {
      const arrivals = this.arrivalsMs.get(team.name) ?? [];
      const served = this.servedCounts.get(team.name) ?? 0;
      return served / countInRateRequests(arrivals, team);
    });
    return Math.min(...fractions);
  }

  private async sendRequest(
    instance: FleetInstance,
    {name}: TeamLimits,
  ): Promise<void> {
    const arrivals = this.arrivalsMs.get(name) ?? [];
    arrivals.push(performance.now());
    this.arrivalsMs.set(name, arrivals);
    const deadlineAtMs = performance.now() + DEADLINE_MS;
    const {admitted} = await instance.limiter.admit(name);
    if (!admitted) return;
    const queue = this.queues.get(instance)!;
    const slot = await queue.acquireSlot(SERVICE_NAME, name, deadlineAtMs);
    if (slot.err) return;
    const {random} = this.fleet;
    setTimeout(
      () => {
        slot.val.release();
        this.servedCounts.set(name, (this.servedCounts.get(name) ?? 0) + 1);
      },
      randomBetween(random, MIN_SERVICE_TIME_MS, MAX_SERVICE_TIME_MS),
    );
  }
}
