/**
 * Guards P6, P7, P8 and P10 for calls with an idempotency key, and shows that
 * each checker detects the fault of a naive registry.
 */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {
  checkAtMostOnce,
  checkNoCallLostByStop,
  checkNotRun,
  checkOwnResponse,
} from '../lib/once-checkers.js';
import type {OnceChecker} from '../lib/once-checkers.js';
import {runOncePlan} from '../lib/once-fleet.js';
import type {OnceFleetOptions} from '../lib/once-fleet.js';
import {
  oneResponsePerTeam,
  notRunAfterLostResponse,
  retryEverything,
  stopImmediately,
  takeOverAfterTimeout,
} from '../lib/once-naive.js';
import {
  combinedOnceRun,
  createOnceRun,
  realFleetOptions,
} from '../lib/once-runs.js';
import {ciSeeds} from '../lib/seeds.js';

const naiveVariants: Array<[string, OnceChecker, OnceFleetOptions]> = [
  [
    'retries of every failed dispatch',
    checkAtMostOnce,
    {createRegistry: retryEverything},
  ],
  [
    'take-over after a timeout',
    checkAtMostOnce,
    {createRegistry: takeOverAfterTimeout},
  ],
  [
    'a key freed after a lost response',
    checkAtMostOnce,
    {createRegistry: notRunAfterLostResponse},
  ],
  [
    '"not run" after a lost response',
    checkNotRun,
    {createRegistry: notRunAfterLostResponse},
  ],
  [
    'one response per team',
    checkOwnResponse,
    {createRegistry: oneResponsePerTeam},
  ],
  [
    'a stop that does not wait for calls',
    checkNoCallLostByStop,
    stopImmediately,
  ],
];

describe('at most once', () => {
  for (const seed of ciSeeds(4)) {
    it(`holds with seed ${seed}: ${combinedOnceRun.name}`, () =>
      combinedOnceRun.run(seed));
  }

  it('returns a response to every call of a key when nothing fails', async () => {
    // A registry that refuses everything would pass all checkers.
    const base = {key: 0, variant: 0, deadlineMs: 3000};
    const atMs = [0, 0, 3, 10, 500, 5000];
    const calls = atMs.map((at, index) => ({
      ...base,
      atMs: at,
      instance: index % 3,
    }));
    const success = {kind: 'answer' as const, runMs: 700, answerBytes: 20};
    const decline = {kind: 'decline' as const, runMs: 0, answerBytes: 20};
    const behaviors = [decline, success, success, success];
    const history = await runOncePlan(
      {calls, faults: [], behaviors},
      realFleetOptions,
    );
    const kinds = history.operations.map(
      call => (call.output as {kind: string}).kind,
    );
    // The first dispatch is declined and a retry takes over the claim. Three
    // more calls at the end use this key again and two others.
    const answered = Array.from({length: 8}, () => 'answer');
    expect(kinds.sort()).toEqual([...answered, 'not-run']);
  });

  for (const [name, checker, fleet] of naiveVariants) {
    it(`detects ${name} and reports the seed`, async () => {
      const [seed] = ciSeeds(1);
      const run = createOnceRun(name, checker, fleet);
      const failure = await run.run(seed!).then(
        () => 'no violation found',
        (error: Error) => error.message,
      );
      expect(failure.includes(`seed: ${seed}`)).toEqual(true);
    });
  }
});
