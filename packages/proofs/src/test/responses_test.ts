/**
 * Guards against responses that are truncated, altered or meant for another
 * caller (P6) and against team keys that reach backend servers (P3).
 */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {
  createResponsesRun,
  responsesRuns,
  checkResponses,
  checkNoKeyReceived,
} from '../lib/responses-run.js';
import {ciSeeds} from '../lib/seeds.js';

describe('responses and keys on the request path', () => {
  for (const run of responsesRuns) {
    for (const seed of ciSeeds(3)) {
      it(`${run.name}, seed ${seed}`, () => run.run(seed));
    }
  }
});

describe('the checkers detect in a naive proxy', () => {
  const variants = {
    'incomplete responses': checkResponses,
    'keys sent to backend servers': checkNoKeyReceived,
  };
  for (const [name, check] of Object.entries(variants)) {
    it(name, async () => {
      const [seed] = ciSeeds(1);
      const run = createResponsesRun(name, check, {variant: 'naive'});
      await expect(run.run(seed!)).toBeRejectedWith(`seed: ${seed}`);
    });
  }
});
