/** Guards against retries that multiply the load of a failing service. */
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {RetryBudget} from '../lib/retry-budget.js';

describe('RetryBudget', () => {
  let clock: FakeTimers.Clock;
  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
  });
  afterEach(() => clock.uninstall());

  function takeAll(budget: RetryBudget): number {
    let taken = 0;
    while (budget.tryTake('counting')) taken += 1;
    return taken;
  }

  it('allows retries for a tenth of the recent requests of a service', () => {
    const budget = RetryBudget.create();
    for (let count = 0; count < 200; count += 1)
      budget.recordRequest('counting');
    expect(takeAll(budget)).toEqual(20);
    expect(budget.tryTake('dwell')).toEqual(true);
  });

  it('ignores old requests and allows an idle service one retry', () => {
    const budget = RetryBudget.create();
    for (let count = 0; count < 200; count += 1)
      budget.recordRequest('counting');
    clock.tick(25_000);
    expect(takeAll(budget)).toEqual(1);
  });
});
