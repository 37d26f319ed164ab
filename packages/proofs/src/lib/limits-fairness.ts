/**
 * Worst-served team: limiters and fair queues in front of scarce slots while
 * one team sends several times its rate.
 */
import {FairQueue} from '@fireflytrack/limits';
import type {SlotResult} from '@fireflytrack/limits';
import {LimitsFleet} from './limits-fleet.js';
import type {FleetInstance, LimitsFleetOptions} from './limits-fleet.js';
import {between, pick} from './limits-random.js';
import {inRateDemand} from './limits-service.js';
import type {TeamLimits} from './mutable-configuration.js';
import {SimulatedClock} from './simulated-clock.js';

/** What a request waits in for a slot; a fair queue by default. */
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
  /** Multiple of its rate that the first team sends; the others send 0.9. */
  overload: number;
  createLimiter?: LimitsFleetOptions['createLimiter'];
  createQueue?(slots: () => number): SlotQueue;
}

const TEAMS: readonly TeamLimits[] = [
  {name: 'flood', ratePerSecond: 200, burstTokens: 100},
  {name: 'calm', ratePerSecond: 100, burstTokens: 50},
  {name: 'quiet', ratePerSecond: 20, burstTokens: 20},
];
const SERVICE = 'counting';
// 4 slots at each instance and 25 to 75 ms a request serve 80 requests/s, a
// fourth more than the teams' rates need of each of five instances.
const SLOTS = 4;
const MIN_SERVICE_MS = 25;
const MAX_SERVICE_MS = 75;
const DEADLINE_MS = 1000;
const SETTLE_MS = 6000;
const CALM_DEMAND = 0.9;

/** Returns served / in-rate demand of the worst-served team. */
export async function runFairness(
  options: FairnessRunOptions,
): Promise<number> {
  const clock = SimulatedClock.install();
  try {
    const run = new FairnessRun(options, clock);
    await run.fleet.advance(SETTLE_MS);
    for (const team of TEAMS) run.offer(team);
    await run.fleet.advance(options.durationMs + DEADLINE_MS);
    return run.worstServed();
  } finally {
    clock.uninstall();
  }
}

class FairnessRun {
  readonly fleet: LimitsFleet;
  private readonly queues = new Map<FleetInstance, SlotQueue>();
  private readonly arrivals = new Map<string, number[]>();
  private readonly served = new Map<string, number>();

  constructor(
    private readonly options: FairnessRunOptions,
    clock: SimulatedClock,
  ) {
    this.fleet = LimitsFleet.create({...options, clock, teams: TEAMS});
    const fair = (slots: () => number) => FairQueue.create({slotsOf: slots});
    for (const instance of this.fleet.live()) {
      const queue = (options.createQueue ?? fair)(() => SLOTS);
      this.queues.set(instance, queue);
    }
  }

  offer(team: TeamLimits): void {
    const {overload, durationMs} = this.options;
    const factor = team.name === 'flood' ? overload : CALM_DEMAND;
    const perSecond = team.ratePerSecond * factor;
    const endAtMs = performance.now() + durationMs;
    const next = () => {
      const gapMs = (-Math.log(1 - this.fleet.random()) * 1000) / perSecond;
      if (performance.now() + gapMs > endAtMs) return;
      setTimeout(() => {
        void this.request(pick(this.fleet.random, this.fleet.live()), team);
        next();
      }, gapMs);
    };
    next();
  }

  worstServed(): number {
    const fractions = TEAMS.map(team => {
      const arrivals = this.arrivals.get(team.name) ?? [];
      const served = this.served.get(team.name) ?? 0;
      return served / inRateDemand(arrivals, team);
    });
    return Math.min(...fractions);
  }

  private async request(
    instance: FleetInstance,
    {name}: TeamLimits,
  ): Promise<void> {
    const arrivals = this.arrivals.get(name) ?? [];
    arrivals.push(performance.now());
    this.arrivals.set(name, arrivals);
    const deadlineAtMs = performance.now() + DEADLINE_MS;
    const {admitted} = await instance.limiter.admit(name);
    if (!admitted) return;
    const queue = this.queues.get(instance)!;
    const slot = await queue.acquireSlot(SERVICE, name, deadlineAtMs);
    if (slot.err) return;
    const {random} = this.fleet;
    setTimeout(
      () => {
        slot.val.release();
        this.served.set(name, (this.served.get(name) ?? 0) + 1);
      },
      between(random, MIN_SERVICE_MS, MAX_SERVICE_MS),
    );
  }
}
