/**
 * Guards against withdrawn keys that are accepted because a store that returned
 * from an older copy, without the withdrawal, confirms the policy.
 */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {parsePolicyText} from '@fireflytrack/policy';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {StoreProgress} from '../lib/store-progress.js';
import {policyText} from '../testing/policy-text.js';

const REWRITE_MS = 1000;

describe('store progress', () => {
  let clock: Clock;
  let progress: StoreProgress;
  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
    progress = StoreProgress.create();
    progress.endLeaderWait();
    record(1, 7, -1);
  });
  afterEach(() => clock.uninstall());

  function record(
    era: number,
    version: number | undefined,
    knownVersion = 7,
  ): void {
    const rows =
      version === undefined ? [] : [{key: 'config', item: policyOf(version)}];
    const position = {era, revision: 1};
    progress.record({rows, position, confirmedOffsetMs: 0}, knownVersion);
  }

  it('is incomplete after the start until a leader was asked or not reached', () => {
    const asking = StoreProgress.create();
    expect(asking.isComplete).toEqual(false);
    asking.endLeaderWait();
    expect(asking.isComplete).toEqual(true);
    const alone = StoreProgress.create();
    clock.tick(1000);
    expect(alone.isComplete).toEqual(true);
  });

  it('is complete in the first era, whatever the store holds', () => {
    expect(progress.isComplete).toEqual(true);
    record(1, 3);
    expect(progress.isComplete).toEqual(true);
  });

  it('is incomplete until the known policy is written again', () => {
    record(2, 5);
    clock.tick(10 * REWRITE_MS);
    expect(progress.isComplete).toEqual(false);
    record(2, undefined);
    expect(progress.isComplete).toEqual(false);
    record(2, 7);
    expect(progress.isComplete).toEqual(true);
  });

  it('is incomplete until unknown policies had time to be written again', () => {
    record(2, 7);
    clock.tick(REWRITE_MS - 1);
    expect(progress.isComplete).toEqual(false);
    clock.tick(1);
    expect(progress.isComplete).toEqual(true);
  });

  it('is incomplete again after each restoration', () => {
    record(2, 7);
    clock.tick(REWRITE_MS);
    record(3, 6);
    clock.tick(REWRITE_MS);
    expect(progress.isComplete).toEqual(false);
    record(3, 9);
    expect(progress.isComplete).toEqual(true);
  });
});

function policyOf(version: number) {
  return parsePolicyText(policyText({version}), 'test.ini').unwrap();
}
