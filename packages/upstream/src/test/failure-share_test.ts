/**
 * Guards against an instance that takes many failures for few, and leaves servers
 * unused that the floor asks for.
 */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {FailureShare} from '../lib/failure-share.js';

const INSTANCES = 10;
const REQUEST_INTERVAL_MS = 100;

describe('share of failed requests', () => {
  let clock: Clock;
  let instances: number | undefined;
  let share: FailureShare;

  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
    clock.tick(60_000);
    instances = INSTANCES;
    share = FailureShare.create(() => instances);
  });
  afterEach(() => clock.uninstall());

  function send(seconds: number, isServed = true): void {
    for (let ms = 0; ms < seconds * 1000; ms += REQUEST_INTERVAL_MS) {
      share.recordEnd(isServed);
      clock.tick(REQUEST_INTERVAL_MS);
    }
  }

  function failAll(count: number): void {
    for (let index = 0; index < count; index += 1) share.recordServerFailure();
  }

  it('compares the failures of all with the requests of all', () => {
    send(20);
    // Of 100 requests a second, 8 fail in each of 2 s.
    failAll(16);
    expect(Math.abs(share.read() - 0.08) < 0.01).toEqual(true);
  });

  it('forgets failures after 2 s', () => {
    send(20);
    failAll(16);
    send(2.5);
    expect(share.read()).toEqual(0);
  });

  it('forgets everything in a pause of any length', () => {
    send(20);
    failAll(16);
    clock.tick(3_600_000);
    expect(share.read()).toEqual(0);
  });

  it('counts own requests that no server answered', () => {
    send(20);
    send(2, false);
    expect(share.read() > 0.1).toEqual(true);
  });

  it('is all while the fleet was not counted', () => {
    send(20);
    instances = undefined;
    expect(share.read()).toEqual(1);
  });

  it('is all when others fail and this instance sends nothing', () => {
    failAll(1);
    expect(share.read()).toEqual(1);
  });
});
