/**
 * Guards against two leaders of one zone which together grant more of a team's
 * rate than it has, and against hand-overs that refuse teams within their rates.
 */
import type {TeamPolicy} from '@fireflytrack/policy';
import {expect} from 'earl';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {HandOverFleet} from '../testing/hand-over-fleet.js';
import type {FleetInstance} from '../testing/hand-over-fleet.js';

const FIRST_SEED = Number(process.env['FIREFLYTRACK_SEED'] ?? 20261204);
const SEEDS = Number(process.env['FIREFLYTRACK_RUNS'] ?? 1);
const BOUNDS = {overrun: 0.1, slack: 20};
const WINDOW_MS = 5000;
const STEP_MS = 50;
const SETTLE_MS = 5000;
const LENGTH_MS = 16_000;
// An instance that reaches nobody stops accepting keys after this time.
const ISOLATED_FOR_MS = 4500;
const INSTANCES_PER_ZONE = 5;
const CUT_SHARE = 0.35;
// Of requests within a team's rate, during and after hand-overs.
const MAX_REFUSED_SHARE = 0.05;

const HOT: TeamPolicy = {
  name: 'hot',
  keyDigests: [],
  ratePerSecond: 51,
  burstTokens: 51,
};
const CALM: TeamPolicy = {...HOT, name: 'calm'};
const CALM_DEMAND_SHARE = 0.7;

type Random = () => number;

interface Counts {
  /** Times at which requests of the hot team were admitted. */
  hotAdmittedAtMs: number[];
  calmSent: number;
  calmRefused: number;
}

describe('hand-overs between leaders', () => {
  let clock: Clock;
  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
    });
  });
  afterEach(() => clock.uninstall());

  /** Plays a day with the disruptions of `disturb`. */
  async function play(
    zones: number,
    seed: number,
    disturb: (fleet: HandOverFleet, random: Random) => void,
  ): Promise<Counts> {
    const random = createRandom(seed);
    const fleet = HandOverFleet.create({
      zones,
      instancesPerZone: INSTANCES_PER_ZONE,
      bounds: BOUNDS,
      teams: [HOT, CALM],
    });
    await clock.tickAsync(SETTLE_MS);
    const counts: Counts = {hotAdmittedAtMs: [], calmSent: 0, calmRefused: 0};
    const startedAtMs = performance.now();
    disturb(fleet, random);
    const calmPerStep =
      (CALM.ratePerSecond * CALM_DEMAND_SHARE * STEP_MS) / 1000;
    let calmDue = 0;
    while (performance.now() - startedAtMs < LENGTH_MS) {
      for (const instance of fleet.instances) {
        if (acceptsKeys(instance)) void sendHot(instance, counts);
      }
      calmDue += calmPerStep;
      for (; calmDue >= 1; calmDue -= 1) {
        const reached = fleet.instances.filter(
          item => !item.hasEnded && !item.isCutOff,
        );
        const instance = reached[Math.floor(random() * reached.length)];
        if (instance) void sendCalm(instance, counts);
      }
      await clock.tickAsync(STEP_MS);
    }
    fleet.stop();
    return counts;
  }

  const cutAtMs = new Map<FleetInstance, number>();
  function acceptsKeys(instance: FleetInstance): boolean {
    if (instance.hasEnded) return false;
    if (!instance.isCutOff || !instance.isTableCut) {
      cutAtMs.delete(instance);
      return true;
    }
    const sinceMs = cutAtMs.get(instance) ?? performance.now();
    cutAtMs.set(instance, sinceMs);
    return performance.now() - sinceMs < ISOLATED_FOR_MS;
  }

  async function sendHot(
    {limiter}: FleetInstance,
    {hotAdmittedAtMs}: Counts,
  ): Promise<void> {
    if ((await limiter.admit(HOT)).admitted) {
      hotAdmittedAtMs.push(performance.now());
    }
  }

  async function sendCalm(
    {limiter}: FleetInstance,
    counts: Counts,
  ): Promise<void> {
    counts.calmSent += 1;
    if (!(await limiter.admit(CALM)).admitted) counts.calmRefused += 1;
  }

  for (const zones of [3, 9]) {
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
      for (const resets of [true, false]) {
        for (const cutsTable of [true, false]) {
          const cut = `cuts that ${resets ? 'reset' : 'keep'} connections, table ${cutsTable ? 'cut' : 'reached'}`;

          // Guards against leaders that are cut off and grant beside their
          // successors.
          it(`keep the rate in ${cut}, ${zones} zones, seed ${seed}`, async () => {
            const counts = await play(zones, seed, (fleet, random) => {
              const cutOff = chooseToCut(fleet, random);
              setTimeout(() => {
                for (const instance of cutOff) {
                  fleet.cutOff(instance, {resets, cutsTable});
                }
              }, 4000);
              setTimeout(
                () => cutOff.forEach(item => fleet.heal(item)),
                12_000,
              );
            });
            expectWithinRate(counts);
          });
        }
      }

      // Guards against successors that wait although the former leaders have
      // ended, and against teams that are refused because of it.
      it(`serve teams within their rates when leaders end, ${zones} zones, seed ${seed}`, async () => {
        const counts = await play(zones, seed, (fleet, random) => {
          for (const leader of leadersOf(fleet)) {
            const atMs = 4000 + random() * 3000;
            setTimeout(() => {
              fleet.end(leader);
              setTimeout(() => fleet.restart(leader), 500 + random() * 1500);
            }, atMs);
          }
        });
        expectWithinRate(counts);
        const refusedShare = counts.calmRefused / counts.calmSent;
        expect(refusedShare).toBeLessThanOrEqual(MAX_REFUSED_SHARE);
      });

      // Guards against a restart of all instances, after which no response tells
      // a new leader that the others follow it.
      it(`serve teams within their rates when all instances restart, ${zones} zones, seed ${seed}`, async () => {
        const counts = await play(zones, seed, (fleet, random) => {
          setTimeout(() => {
            for (const instance of [...fleet.instances]) {
              fleet.end(instance);
              setTimeout(() => fleet.restart(instance), 1000 + random() * 500);
            }
          }, 4000);
        });
        expectWithinRate(counts);
      });
    }
  }
});

function expectWithinRate({hotAdmittedAtMs}: Counts): void {
  const {ratePerSecond, burstTokens} = HOT;
  const perWindow = (ratePerSecond * WINDOW_MS) / 1000 + burstTokens;
  const allowed = perWindow * (1 + BOUNDS.overrun) + BOUNDS.slack;
  let first = 0;
  let most = 0;
  hotAdmittedAtMs.forEach((atMs, index) => {
    while (atMs - hotAdmittedAtMs[first]! > WINDOW_MS) first += 1;
    most = Math.max(most, index - first + 1);
  });
  expect(most).toBeLessThanOrEqual(allowed);
  // Fewer would mean that the team did not press against its rate.
  expect(most).toBeGreaterThan(perWindow * 0.7);
}

function leadersOf(fleet: HandOverFleet): FleetInstance[] {
  return fleet.instances.filter(({election}) => election.isLeader);
}

/** Half of the leaders, and others up to a share of all instances. */
function chooseToCut(fleet: HandOverFleet, random: Random): FleetInstance[] {
  const leaders = leadersOf(fleet);
  const chosen = new Set(leaders.slice(0, Math.ceil(leaders.length / 2)));
  const size = Math.floor(fleet.instances.length * CUT_SHARE);
  while (chosen.size < size) {
    const index = Math.floor(random() * fleet.instances.length);
    chosen.add(fleet.instances[index]!);
  }
  return [...chosen];
}

/** A seeded generator of numbers from 0 to 1 (mulberry32). */
function createRandom(seed: number): Random {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}
