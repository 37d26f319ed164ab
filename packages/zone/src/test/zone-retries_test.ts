/**
 * Guards against retry storms: the number of retries in the fleet is bounded
 * in each sliding window, even while instances request them in bursts, leaders
 * are replaced or leaders are unreachable. Also guards against a budget that
 * cannot be used where the failures occur.
 */
import {MemoryNetwork} from '@fireflytrack/wire';
import {expect} from 'earl';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {Leader} from '../lib/leader-row.js';
import {ZoneRetries} from '../lib/zone-retries.js';

const RATIO = 0.2;
const ALLOWANCE = 60;
const WINDOW_MS = 10_000;
const ZONES = ['a', 'b', 'c', 'd', 'e', 'f'];
const INSTANCES_PER_ZONE = 7;
const SERVICE = 'heatmaps';

interface Member {
  retries: ZoneRetries;
  election: {isLeader: boolean; reachableLeader: Leader | undefined};
}

describe('zone retries', () => {
  let clock: Clock;
  let network: MemoryNetwork;
  let members: Member[];
  let arrivalsAtMs: number[];
  let retriesAtMs: number[];

  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    network = MemoryNetwork.create({delayMs: () => 1});
    members = ZONES.flatMap(zone =>
      Array.from({length: INSTANCES_PER_ZONE}, (_, index) => join(zone, index)),
    );
    arrivalsAtMs = [];
    retriesAtMs = [];
  });
  afterEach(() => clock.uninstall());

  /** The first instance of each zone is its leader. */
  function join(zone: string, index: number): Member {
    const instanceId = `${zone}${index}`;
    const leader: Leader = {
      instanceId: `${zone}0`,
      lifeId: zone,
      availabilityZone: zone,
      region: 'nord',
      host: '10.0.0.1',
      port: 7100,
      instances: INSTANCES_PER_ZONE,
    };
    const election = {
      isLeader: index === 0,
      reachableLeader: index === 0 ? undefined : leader,
    };
    const retries = ZoneRetries.create({
      ratio: RATIO,
      fleetAllowance: ALLOWANCE,
      windowMs: WINDOW_MS,
      zones: ZONES.length,
    });
    const peers = network.join({
      instanceId,
      availabilityZone: zone,
      region: 'nord',
    });
    retries.join({network: peers, election});
    if (election.isLeader) retries.becomeLeader();
    return {retries, election};
  }

  /** Sends one request that needs `wanted` retries. */
  async function sendRequest(member: Member, wanted: number): Promise<void> {
    const budget = member.retries.budgetFor(SERVICE);
    budget.recordRequest();
    arrivalsAtMs.push(performance.now());
    for (let count = 0; count < wanted; count += 1) {
      if (!(await budget.takeRetry('failure'))) return;
      retriesAtMs.push(performance.now());
    }
  }

  /** Sends requests through all instances, evenly spaced in time. */
  async function sendRequests(
    requests: number,
    durationMs: number,
    wanted: number,
  ): Promise<void> {
    const running: Promise<void>[] = [];
    for (let index = 0; index < requests; index += 1) {
      running.push(sendRequest(members[index % members.length]!, wanted));
      await clock.tickAsync(durationMs / requests);
    }
    await clock.tickAsync(1000);
    await Promise.all(running);
  }

  /**
   * Largest excess over the bound in any sliding window; 0 if there is none.
   */
  function maxExcessRetries(): number {
    const within = (times: number[], fromMs: number) =>
      times.filter(atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length;
    let maxExcess = 0;
    for (const fromMs of retriesAtMs) {
      const requests = Math.max(
        within(arrivalsAtMs, fromMs),
        within(arrivalsAtMs, fromMs - WINDOW_MS / 2),
        within(arrivalsAtMs, fromMs - WINDOW_MS),
      );
      const maxRetries = RATIO * requests + ALLOWANCE;
      maxExcess = Math.max(maxExcess, within(retriesAtMs, fromMs) - maxRetries);
    }
    return maxExcess;
  }

  for (const requests of [84, 300, 1200]) {
    it(`bound a burst of failures among ${requests} requests after an idle period`, async () => {
      await clock.tickAsync(WINDOW_MS);
      await sendRequests(requests / 4, 1000, 3);
      await sendRequests(requests, WINDOW_MS, 3);
      expect(maxExcessRetries()).toEqual(0);
    });
  }

  it('let a busy service use most of the budget', async () => {
    await sendRequests(600, WINDOW_MS, 0);
    arrivalsAtMs = [];
    await sendRequests(600, WINDOW_MS, 1);
    const maxRetries = RATIO * 600 + ALLOWANCE;
    expect(retriesAtMs.length >= 0.8 * maxRetries).toEqual(true);
    expect(maxExcessRetries()).toEqual(0);
  });

  it('let one instance use retries that the others of its zone leave unused', async () => {
    await clock.tickAsync(2 * WINDOW_MS);
    for (let count = 0; count < 12; count += 1) {
      void sendRequest(members[1]!, 1);
      await clock.tickAsync(100);
    }
    expect(retriesAtMs.length >= 6).toEqual(true);
  });

  it('stay within the bound while all leaders are replaced', async () => {
    await sendRequests(300, WINDOW_MS / 2, 3);
    for (const {retries, election} of members) {
      if (election.isLeader) retries.becomeLeader();
    }
    await sendRequests(300, WINDOW_MS / 2, 3);
    expect(maxExcessRetries()).toEqual(0);
  });

  it('stay within the bound after leaders become unreachable', async () => {
    await sendRequests(300, WINDOW_MS / 2, 3);
    for (const {election} of members) {
      election.isLeader = false;
      election.reachableLeader = undefined;
    }
    await sendRequests(600, WINDOW_MS, 3);
    expect(retriesAtMs.length > 0).toEqual(true);
    expect(maxExcessRetries()).toEqual(0);
  });

  it('leave half of the budget to failures when requests are slow', async () => {
    await clock.tickAsync(WINDOW_MS);
    const budget = members[1]!.retries.budgetFor(SERVICE);
    const taken = {slowness: 0, failure: 0};
    for (const cause of ['slowness', 'failure'] as const) {
      for (let count = 0; count < 20; count += 1) {
        const granted = budget.takeRetry(cause);
        await clock.tickAsync(5);
        if (await granted) taken[cause] += 1;
      }
    }
    expect(taken.slowness >= 1).toEqual(true);
    expect(taken.failure >= taken.slowness).toEqual(true);
  });
});
