/** Guards against rates that are exceeded by the sum of all zones. */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {ZoneBuckets} from '../lib/zone-buckets.js';

const BOUNDS = {windowMs: 5000, overrun: 0.1, slack: 20};
const ZONES = 6;
const STEP_MS = 50;

describe('zone buckets', () => {
  let clock: Clock;
  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
  });
  afterEach(() => clock.uninstall());

  function zones(): ZoneBuckets[] {
    return Array.from({length: ZONES}, () =>
      ZoneBuckets.create(BOUNDS, () => ZONES),
    );
  }

  /** Most that was admitted in any window while every zone wants more. */
  function worstWindow(
    buckets: ZoneBuckets[],
    team: Parameters<ZoneBuckets['tryTake']>[0],
    onStep: (step: number) => void = () => {},
  ): number {
    const admitted: number[] = [];
    for (let step = 0; step < 600; step += 1) {
      onStep(step);
      let taken = 0;
      for (const bucket of buckets) while (bucket.tryTake(team)) taken += 1;
      admitted.push(taken);
      clock.tick(STEP_MS);
    }
    const span = BOUNDS.windowMs / STEP_MS;
    let worst = 0;
    for (let end = span; end <= admitted.length; end += 1) {
      const sum = admitted.slice(end - span, end).reduce((a, b) => a + b, 0);
      worst = Math.max(worst, sum);
    }
    return worst;
  }

  for (const ratePerSecond of [2, 8, 32, 200]) {
    const burstTokens = ratePerSecond;
    const team = {name: 't', keyDigests: [], ratePerSecond, burstTokens};
    const perWindow = (ratePerSecond * BOUNDS.windowMs) / 1000 + burstTokens;
    const most = perWindow * (1 + BOUNDS.overrun) + BOUNDS.slack;

    it(`hold a rate of ${ratePerSecond} over the fleet after a quiet time`, () => {
      const buckets = zones();
      clock.tick(60_000);
      expect(worstWindow(buckets, team) <= most).toEqual(true);
    });

    it(`hold a rate of ${ratePerSecond} while all leaders are replaced`, () => {
      const buckets = zones();
      clock.tick(60_000);
      const replace = (step: number) => {
        if (step === 20) for (const bucket of buckets) bucket.clear();
      };
      expect(worstWindow(buckets, team, replace) <= most).toEqual(true);
    });
  }

  it('lends what another zone takes, and not twice', () => {
    const team = {
      name: 't',
      keyDigests: [],
      ratePerSecond: 60,
      burstTokens: 60,
    };
    const bucket = ZoneBuckets.create(BOUNDS, () => ZONES);
    clock.tick(60_000);
    let lent = 0;
    for (let round = 0; round < 50; round += 1) lent += bucket.lend(team, 4);
    let taken = 0;
    while (bucket.tryTake(team)) taken += 1;
    const other = ZoneBuckets.create(BOUNDS, () => ZONES);
    clock.tick(60_000);
    let whole = 0;
    while (other.tryTake(team)) whole += 1;
    expect(lent + taken <= whole).toEqual(true);
    expect(taken > 0).toEqual(true);
  });
});
