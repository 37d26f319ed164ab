/** Guards against ejecting servers under conditions that they don't cause. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {
  HEALTHY_CONDITIONS,
  checkNoEjection,
} from '../lib/health-false-ejections.js';
import {ciSeeds} from '../lib/seeds.js';

// The naive selector ejects after consecutive faults, which these two cause.
const NAIVE_EJECTS = [
  'a slowdown of the whole service beyond its capacity',
  'one instance with a cut path to a server',
];

describe('false ejections', () => {
  for (const condition of HEALTHY_CONDITIONS) {
    for (const seed of ciSeeds(2)) {
      it(`do not occur under ${condition.name}, seed ${seed}`, () =>
        checkNoEjection(condition, seed));
    }
  }

  for (const name of NAIVE_EJECTS) {
    it(`by the naive selector are detected under ${name}`, async () => {
      const condition = HEALTHY_CONDITIONS.find(other => other.name === name)!;
      const [seed] = ciSeeds(1);
      await expect(
        checkNoEjection(condition, seed!, 'random'),
      ).toBeRejectedWith(`seed ${seed}`);
    });
  }
});
