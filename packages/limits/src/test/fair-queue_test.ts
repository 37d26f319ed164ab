/**
 * Guards against one team's requests holding back another team's (fairness).
 */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {FairQueue} from '../lib/fair-queue.js';
import type {Slot, SlotResult} from '../lib/service-queue.js';

const SERVICE = 'counting';
const FAR_MS = 60_000;

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

  function slotOf(result: SlotResult | Promise<SlotResult>): Slot {
    if (result instanceof Promise) throw new Error('had to wait');
    return result.unwrap();
  }

  it('answers synchronously while slots are free and never exceeds them', () => {
    const queue = FairQueue.create({slotsOf: () => 2});
    slotOf(queue.enter(SERVICE, 'a', FAR_MS));
    const second = slotOf(queue.enter(SERVICE, 'b', FAR_MS));
    const third = queue.enter(SERVICE, 'b', FAR_MS);
    expect(third instanceof Promise).toEqual(true);
    second.release();
    second.release();
    expect(queue.enter(SERVICE, 'a', FAR_MS) instanceof Promise).toEqual(true);
  });

  it('serves a newly arriving team before the backlog of another', async () => {
    const queue = FairQueue.create({slotsOf: () => 1});
    const order: string[] = [];
    let slot = slotOf(queue.enter(SERVICE, 'flood', FAR_MS));
    const enter = async (teamName: string) => {
      const result = await queue.enter(SERVICE, teamName, FAR_MS);
      order.push(teamName);
      slot = result.unwrap();
    };
    const entered = Array.from({length: 50}, () => enter('flood'));
    entered.push(enter('calm'));
    for (let served = 0; served < 51; served += 1) {
      slot.release();
      await clock.tickAsync(0);
    }
    await Promise.all(entered);
    expect(order.indexOf('calm') <= 1).toEqual(true);
  });

  it('bounds the entries of a team and drops them at the deadline', async () => {
    const queue = FairQueue.create({slotsOf: () => 1});
    const slot = slotOf(queue.enter(SERVICE, 'a', FAR_MS));
    const waiting = Array.from({length: 64}, () =>
      Promise.resolve(queue.enter(SERVICE, 'a', 100)),
    );
    const full = queue.enter(SERVICE, 'a', 100) as SlotResult;
    expect(full.err && full.val.kind).toEqual('queue-full');
    expect(queue.enter(SERVICE, 'b', 100) instanceof Promise).toEqual(true);
    await clock.tickAsync(100);
    for (const result of await Promise.all(waiting)) {
      expect(result.err && result.val.kind).toEqual('deadline');
    }
    slot.release();
    slotOf(queue.enter(SERVICE, 'a', FAR_MS));
  });

  it('does not charge a team for requests that were dropped', async () => {
    const queue = FairQueue.create({slotsOf: () => 1});
    const slot = slotOf(queue.enter(SERVICE, 'a', FAR_MS));
    for (let entry = 0; entry < 20; entry += 1) {
      void queue.enter(SERVICE, 'late', 50);
    }
    await clock.tickAsync(50);
    const first = Promise.resolve(queue.enter(SERVICE, 'late', FAR_MS));
    void queue.enter(SERVICE, 'a', FAR_MS);
    slot.release();
    expect((await first).ok).toEqual(true);
  });

  it('serves waiting requests after the capacity grew', async () => {
    let slots = 0;
    const queue = FairQueue.create({slotsOf: () => slots});
    const waiting = Promise.resolve(queue.enter(SERVICE, 'a', FAR_MS));
    slots = 1;
    queue.refresh();
    expect((await waiting).ok).toEqual(true);
  });
});
