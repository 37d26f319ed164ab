/** Guards against keys that are accepted after their withdrawal. */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {readClocks} from '@fireflytrack/time';
import {FreshnessLease} from '../lib/freshness-lease.js';

describe('freshness lease', () => {
  let clock: Clock;
  let lease: FreshnessLease;
  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
    });
    lease = FreshnessLease.create();
  });
  afterEach(() => clock.uninstall());

  it('is infinitely old before the first confirmation', () => {
    expect(lease.ageMs()).toEqual(Infinity);
  });

  it('measures the age from the sending of the call, not from its response', () => {
    const sentAt = readClocks();
    clock.tick(700);
    lease.confirm(sentAt, 0);
    expect(lease.ageMs()).toEqual(700);
  });

  it('applies the offset of a store that waited or of a leader that relayed', () => {
    const sentAt = readClocks();
    clock.tick(1000);
    lease.confirm(sentAt, 900);
    expect(lease.ageMs()).toEqual(100);
    lease.confirm(readClocks(), -400);
    expect(lease.ageMs()).toEqual(100);
  });

  it('detects a suspension that stopped the monotonic clock', () => {
    lease.confirm(readClocks(), 0);
    clock.setSystemTime(Date.now() + 6000);
    expect(lease.ageMs()).toEqual(6000);
  });

  it('does not become fresher when the wall clock is set back', () => {
    lease.confirm(readClocks(), 0);
    clock.tick(3000);
    clock.setSystemTime(Date.now() - 60_000);
    expect(lease.ageMs()).toEqual(3000);
  });

  it('resolves waiters once it is fresh enough, or after their timeout', async () => {
    const waiting = lease.waitForAge(500, 400);
    lease.confirm(readClocks(), 0);
    expect(await waiting).toEqual(true);
    clock.tick(2000);
    const late = lease.waitForAge(500, 400);
    lease.confirm(readClocks(), -900);
    await clock.tickAsync(400);
    expect(await late).toEqual(false);
  });
});
