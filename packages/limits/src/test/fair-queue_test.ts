/**
 * Guards against a team with many waiting requests delaying those of other
 * teams.
 */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {FairQueue} from '../lib/fair-queue.js';
import type {Slot, SlotResult} from '../lib/service-queue.js';

const SERVICE = 'counting';
const DISTANT_DEADLINE_MS = 60_000;

describe('fair queue', () => {
  let clock: Clock;
  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
  });
  afterEach(() => {
    clock.uninstall();
  });

  function requireSlot(result: SlotResult | Promise<SlotResult>): Slot {
    if (result instanceof Promise)
      throw new Error('the request has to wait for a slot');
    return result.unwrap();
  }

  it('returns synchronously while slots are free and never exceeds their number', () => {
    const queue = FairQueue.create({slotsOf: () => 2});
    requireSlot(queue.acquireSlot(SERVICE, 'a', DISTANT_DEADLINE_MS));
    const second = requireSlot(
      queue.acquireSlot(SERVICE, 'b', DISTANT_DEADLINE_MS),
    );
    const third = queue.acquireSlot(SERVICE, 'b', DISTANT_DEADLINE_MS);
    expect(third instanceof Promise).toEqual(true);
    second.release();
    second.release();
    expect(
      queue.acquireSlot(SERVICE, 'a', DISTANT_DEADLINE_MS) instanceof Promise,
    ).toEqual(true);
  });

  it('serves a newly arrived team before the backlog of another team', async () => {
    const queue = FairQueue.create({slotsOf: () => 1});
    const order: string[] = [];
    let slot = requireSlot(
      queue.acquireSlot(SERVICE, 'flood', DISTANT_DEADLINE_MS),
    );
    const acquireAndRecord = async (teamName: string) => {
      const result = await queue.acquireSlot(
        SERVICE,
        teamName,
        DISTANT_DEADLINE_MS,
      );
      order.push(teamName);
      slot = result.unwrap();
    };
    const acquired = Array.from({length: 50}, () => acquireAndRecord('flood'));
    acquired.push(acquireAndRecord('calm'));
    for (let served = 0; served < 51; served += 1) {
      slot.release();
      await clock.tickAsync(0);
    }
    await Promise.all(acquired);
    expect(order.indexOf('calm') <= 1).toEqual(true);
  });

  it('limits the waiting requests of a team and drops them at their deadline', async () => {
    const queue = FairQueue.create({slotsOf: () => 1});
    const slot = requireSlot(
      queue.acquireSlot(SERVICE, 'a', DISTANT_DEADLINE_MS),
    );
    const waiting = Array.from({length: 64}, () =>
      Promise.resolve(queue.acquireSlot(SERVICE, 'a', 100)),
    );
    const full = queue.acquireSlot(SERVICE, 'a', 100) as SlotResult;
    expect(full.err && full.val.kind).toEqual('queue-full');
    expect(queue.acquireSlot(SERVICE, 'b', 100) instanceof Promise).toEqual(
      true,
    );
    await clock.tickAsync(100);
    for (const result of await Promise.all(waiting)) {
      expect(result.err && result.val.kind).toEqual('deadline');
    }
    slot.release();
    requireSlot(queue.acquireSlot(SERVICE, 'a', DISTANT_DEADLINE_MS));
  });

  it('does not charge a team for requests that missed their deadline', async () => {
    const queue = FairQueue.create({slotsOf: () => 1});
    const slot = requireSlot(
      queue.acquireSlot(SERVICE, 'a', DISTANT_DEADLINE_MS),
    );
    for (let request = 0; request < 20; request += 1) {
      void queue.acquireSlot(SERVICE, 'late', 50);
    }
    await clock.tickAsync(50);
    const first = Promise.resolve(
      queue.acquireSlot(SERVICE, 'late', DISTANT_DEADLINE_MS),
    );
    void queue.acquireSlot(SERVICE, 'a', DISTANT_DEADLINE_MS);
    slot.release();
    expect((await first).ok).toEqual(true);
  });

  it('serves waiting requests after the number of slots grew', async () => {
    let slots = 0;
    const queue = FairQueue.create({slotsOf: () => slots});
    const waiting = Promise.resolve(
      queue.acquireSlot(SERVICE, 'a', DISTANT_DEADLINE_MS),
    );
    slots = 1;
    queue.dispatchWaiting();
    expect((await waiting).ok).toEqual(true);
  });
});
