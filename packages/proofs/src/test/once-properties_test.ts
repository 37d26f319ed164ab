/**
 * Guards P6, P7, P8 and P10 of calls with an idempotency key, and shows that
 * each checker finds the fault of a naive registry.
 */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {
  checkAtMostOnce,
  checkNoCutByStop,
  checkNotRun,
  checkOwnAnswer,
} from '../lib/once-checkers.js';
import type {OnceChecker} from '../lib/once-checkers.js';
import {runOncePlan} from '../lib/once-fleet.js';
import type {OnceFleetOptions} from '../lib/once-fleet.js';
import {
  answerOfTeam,
  notRunAfterLostAnswer,
  retryEverything,
  stopAtOnce,
  takeOverAfterTimeout,
} from '../lib/once-naive.js';
import {allOnceProperties, onceRun, realFleet} from '../lib/once-runs.js';
import {ciSeeds} from '../lib/seeds.js';

const naive: Array<[string, OnceChecker, OnceFleetOptions]> = [
  ['retry of everything', checkAtMostOnce, {createRegistry: retryEverything}],
  [
    'take-over after a timeout',
    checkAtMostOnce,
    {createRegistry: takeOverAfterTimeout},
  ],
  [
    'reuse after a lost answer',
    checkAtMostOnce,
    {createRegistry: notRunAfterLostAnswer},
  ],
  [
    '"not run" after a lost answer',
    checkNotRun,
    {createRegistry: notRunAfterLostAnswer},
  ],
  ['one answer for a team', checkOwnAnswer, {createRegistry: answerOfTeam}],
  ['a stop that waits for nothing', checkNoCutByStop, stopAtOnce],
];

describe('at most once', () => {
  for (const seed of ciSeeds(4)) {
    it(`holds with seed ${seed}: ${allOnceProperties.name}`, () =>
      allOnceProperties.run(seed));
  }

  it('answers every call of a key when nothing fails', async () => {
    // A registry that refuses everything would pass all checkers.
    const base = {key: 0, variant: 0, deadlineMs: 3000};
    const atMs = [0, 0, 3, 10, 500, 5000];
    const calls = atMs.map((at, index) => ({
      ...base,
      atMs: at,
      instance: index % 3,
    }));
    const answer = {kind: 'answer' as const, runMs: 700, answerBytes: 20};
    const decline = {kind: 'decline' as const, runMs: 0, answerBytes: 20};
    const behaviors = [decline, answer, answer, answer];
    const history = await runOncePlan(
      {calls, faults: [], behaviors},
      realFleet,
    );
    const kinds = history.operations.map(
      call => (call.output as {kind: string}).kind,
    );
    // The first dispatch is declined and a repeat takes the claim over; three
    // more calls at the end repeat this key and try two others.
    const answered = Array.from({length: 8}, () => 'answer');
    expect(kinds.sort()).toEqual([...answered, 'not-run']);
  });

  for (const [name, checker, fleet] of naive) {
    it(`finds the fault of ${name} and prints the seed`, async () => {
      const [seed] = ciSeeds(1);
      const run = onceRun(name, checker, fleet);
      const failure = await run.run(seed!).then(
        () => 'no violation found',
        (error: Error) => error.message,
      );
      expect(failure.includes(`seed: ${seed}`)).toEqual(true);
    });
  }
});
