/** Guards against repeats that turn slowness into collapse. */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {RepeatBudget} from '../lib/repeat-budget.js';

const RATIO = 0.2;
const ALLOWANCE = 60;
const WINDOW_MS = 10_000;
const INSTANCES = 40;

describe('repeat budget', () => {
  let clock: Clock;
  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
  });
  afterEach(() => clock.uninstall());

  it('keeps a fleet within the bound while every request wants a repeat', () => {
    const budgets = Array.from({length: INSTANCES}, () =>
      RepeatBudget.create({
        ratio: RATIO,
        fleetAllowance: ALLOWANCE,
        windowMs: WINDOW_MS,
        instances: () => INSTANCES,
      }),
    );
    const perInstance = 20;
    let repeats = 0;
    for (let request = 0; request < perInstance; request += 1) {
      for (const budget of budgets) {
        budget.requestArrived();
        if (budget.tryTake()) repeats += 1;
      }
      clock.tick(WINDOW_MS / perInstance);
    }
    const requests = INSTANCES * perInstance;
    expect(repeats <= RATIO * requests + ALLOWANCE).toEqual(true);
    expect(repeats > 0.5 * RATIO * requests).toEqual(true);
  });
});
