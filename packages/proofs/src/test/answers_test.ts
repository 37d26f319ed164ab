/**
 * Guards against answers that are cut, altered or another caller's (P6) and
 * against keys that reach backend servers (P3).
 */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {
  answersRun,
  answersRuns,
  checkAnswers,
  checkKeys,
} from '../lib/answers-run.js';
import {ciSeeds} from '../lib/seeds.js';

describe('answers and keys through the request path', () => {
  for (const run of answersRuns) {
    for (const seed of ciSeeds(3)) {
      it(`${run.name}, seed ${seed}`, () => run.run(seed));
    }
  }
});

describe('the checkers find in a naive proxy', () => {
  const variants = {
    'answers that are not whole': checkAnswers,
    'keys at backend servers': checkKeys,
  };
  for (const [name, check] of Object.entries(variants)) {
    it(name, async () => {
      const [seed] = ciSeeds(1);
      const run = answersRun(name, check, {variant: 'naive'});
      await expect(run.run(seed!)).toBeRejectedWith(`seed: ${seed}`);
    });
  }
});
