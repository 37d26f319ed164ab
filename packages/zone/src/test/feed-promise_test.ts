/**
 * Guards against instances that reach the table and have a change later than
 * promised, because those they read from have lost it.
 */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {FeedTiming} from '../lib/feed-timing.js';
import {FeedFleet} from '../testing/feed-fleet.js';
import type {
  FeedFleetOptions,
  FeedInstance,
  LateChange,
} from '../testing/feed-fleet.js';
import {LINK_FAULTS} from '../testing/feed-table.js';
import type {LinkFault} from '../testing/feed-table.js';

const FIRST_SEED = Number(process.env['FIREFLYTRACK_SEED'] ?? 20261204);
const SEEDS = Number(process.env['FIREFLYTRACK_RUNS'] ?? 4);
// A fleet without limits is late in some of these.
const NAIVE_SEEDS = 12;
const STEP_MS = 5;
const SETTLE_MS = 6000;
const LENGTH_MS = 32_000;
const MAX_CHANGE_INTERVAL_MS = 7000;
// The later a change after a loss, the sooner the next read of the table.
const MAX_CHANGE_AFTER_FAULT_MS = 1200;
const MAX_FAULT_MS = 7000;
const MIN_FAULT_MS = 1500;
// After a disturbance of its path to the table, an instance has this long before
// promises bind it again.
const CALM_MS = 3000;
const DOWN_MS = 700;

const FLEETS = {
  '3 zones, within 2 s': {
    zonesByRegion: {nord: ['a1', 'a2'], sud: ['b1']},
    instancesPerZone: 8,
    promiseMs: 2000,
  },
  '9 zones, within 3 s': {
    zonesByRegion: {
      nord: ['a1', 'a2', 'a3'],
      sud: ['b1', 'b2', 'b3'],
      est: ['c1', 'c2', 'c3'],
    },
    instancesPerZone: 6,
    promiseMs: 3000,
  },
};

type Random = () => number;
type Disturb = (fleet: FeedFleet, random: Random) => void;

const DISTURBANCES: Record<string, Disturb> = {
  ...Object.fromEntries(
    LINK_FAULTS.map(fault => [
      `while readers have a link that is ${fault}`,
      (fleet: FeedFleet, random: Random) =>
        loseTable(fleet, random, fleet.readers, fault),
    ]),
  ),
  'while any instances lose the table': (fleet, random) =>
    loseTable(fleet, random, shuffle(fleet.instances, random), draw(random)),
  'while leaders are silent': (fleet, random) => {
    for (const leader of leadersOf(fleet)) {
      if (random() < 0.5) fleet.silence(leader, drawDurationMs(random));
    }
  },
  'while readers lose the table and leaders restart': (fleet, random) => {
    loseTable(fleet, random, fleet.readers, draw(random));
    for (const leader of leadersOf(fleet)) {
      if (random() < 0.3) fleet.restart(leader, DOWN_MS);
    }
  },
  'while readers lose the table and its history is dropped': (
    fleet,
    random,
  ) => {
    loseTable(fleet, random, fleet.readers, draw(random));
    setTimeout(() => fleet.table.dropHistory(), random() * MIN_FAULT_MS);
  },
};

describe('changes of a feed that instances read for each other', () => {
  let clock: Clock;
  const {random: unseeded} = Math;
  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
    });
  });
  afterEach(() => {
    clock.uninstall();
    Math.random = unseeded;
  });

  async function advance(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      clock.tick(STEP_MS);
      await new Promise<void>(resolve => setImmediate(resolve));
    }
  }

  /** Plays disturbances in a row and returns the changes that came late. */
  async function play(
    options: Omit<FeedFleetOptions, 'random'>,
    seed: number,
    disturb: Disturb,
  ): Promise<{late: LateChange[]; regressions: string[]}> {
    const random = createRandom(seed);
    // The product draws from it as well.
    Math.random = random;
    const fleet = FeedFleet.create({...options, random});
    await advance(SETTLE_MS);
    const endAtMs = performance.now() + LENGTH_MS;
    let nextFaultAtMs = performance.now();
    let nextChangeAtMs = performance.now();
    while (performance.now() < endAtMs) {
      if (performance.now() >= nextFaultAtMs) {
        disturb(fleet, random);
        nextFaultAtMs += MAX_FAULT_MS * (0.7 + random());
        const delayMs = MAX_CHANGE_AFTER_FAULT_MS * random();
        setTimeout(() => fleet.table.change(), delayMs);
      }
      if (performance.now() >= nextChangeAtMs) {
        fleet.table.change();
        nextChangeAtMs += MAX_CHANGE_INTERVAL_MS * random();
      }
      await advance(50);
    }
    await advance(options.promiseMs);
    const late = fleet.findLate(CALM_MS);
    const {regressions} = fleet;
    await fleet.stop();
    return {late, regressions};
  }

  // A fleet whose members wait as long as their leader holds them must be caught.
  it('are found late without limits on the age', async () => {
    const options = FLEETS['9 zones, within 3 s'];
    const {waitMs} = FeedTiming.create(options);
    const limitMs = 2 * waitMs;
    const limits = {
      waitMs,
      highestLimitMs: limitMs,
      drawLimitMs: () => limitMs,
    };
    const disturb = DISTURBANCES['while readers have a link that is silent']!;
    let late: LateChange[] = [];
    for (let index = 0; late.length === 0 && index < NAIVE_SEEDS; index += 1) {
      const seed = FIRST_SEED + index;
      ({late} = await play({...options, limits}, seed, disturb));
    }
    expect(late.length).toBeGreaterThan(0);
  });

  // Guards against a fleet that calls the table all at once when the instance that
  // reads for a region has lost it.
  it('are read from the table by one zone and the leaders, not at once', async () => {
    const {zonesByRegion, promiseMs} = FLEETS['9 zones, within 3 s'];
    const random = createRandom(FIRST_SEED);
    const fleet = FeedFleet.create({
      zonesByRegion,
      instancesPerZone: 15,
      promiseMs,
      random,
    });
    await advance(SETTLE_MS);
    const leaders = leadersOf(fleet);
    const reader = leaders.find(({election}) => !election.feedSource)!;
    const lostAtMs = performance.now();
    fleet.loseTable(reader, 'silent', MAX_FAULT_MS);
    await advance(promiseMs);
    const calls = fleet.table.calls.filter(({atMs}) => atMs >= lostAtMs);
    const callers = new Set(calls.map(({caller}) => caller));
    const members = fleet.instances.filter(
      ({availabilityZone}) => availabilityZone === reader.availabilityZone,
    );
    const expected = new Set(
      [...members, ...leaders].map(({instanceId}) => instanceId),
    );
    expect([...callers].filter(caller => !expected.has(caller))).toEqual([]);
    // One read at the limit, and two waits for changes.
    expect(calls.length).toBeLessThanOrEqual(3 * expected.size);
    const firstAtMs = members
      .filter(member => member !== reader)
      .map(({instanceId}) => calls.find(call => call.caller === instanceId))
      .map(call => call?.atMs ?? NaN);
    const spreadMs = Math.max(...firstAtMs) - Math.min(...firstAtMs);
    expect(spreadMs).toBeGreaterThanOrEqual(75);
    await fleet.stop();
  });

  for (const [fleetName, options] of Object.entries(FLEETS)) {
    for (const [name, disturb] of Object.entries(DISTURBANCES)) {
      it(`are in time ${name}, ${fleetName}`, async () => {
        for (let index = 0; index < SEEDS; index += 1) {
          const seed = FIRST_SEED + index;
          const {late, regressions} = await play(options, seed, disturb);
          expect(regressions).toEqual([]);
          expect(summarize(late, seed)).toEqual('');
        }
      });
    }
  }
});

/** Empty if nothing was late. */
function summarize(late: LateChange[], seed: number): string {
  if (late.length === 0) return '';
  const [worst] = late.sort(
    (a, b) => (b.afterMs ?? Infinity) - (a.afterMs ?? Infinity),
  );
  return `seed ${seed}: ${late.length} late, worst ${JSON.stringify(worst)}`;
}

/** A share of the instances, the first in `order`, loses the table. */
function loseTable(
  fleet: FeedFleet,
  random: Random,
  order: readonly FeedInstance[],
  fault: LinkFault,
): void {
  const share = [0.05, 0.25, 0.6][Math.floor(random() * 3)]!;
  const forMs = drawDurationMs(random);
  for (const instance of order.slice(0, Math.ceil(order.length * share))) {
    fleet.loseTable(instance, fault, forMs);
  }
}

function leadersOf({instances}: FeedFleet): FeedInstance[] {
  return instances.filter(({election}) => election.isLeader);
}

function draw(random: Random): LinkFault {
  return LINK_FAULTS[Math.floor(random() * LINK_FAULTS.length)]!;
}

function drawDurationMs(random: Random): number {
  return MIN_FAULT_MS + random() * (MAX_FAULT_MS - MIN_FAULT_MS);
}

function shuffle<T>(items: readonly T[], random: Random): T[] {
  return items
    .map(item => ({item, order: random()}))
    .sort((a, b) => a.order - b.order)
    .map(({item}) => item);
}

function createRandom(seed: number): Random {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}
