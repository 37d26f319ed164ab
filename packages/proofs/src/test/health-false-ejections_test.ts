/** Guards against ejecting servers that are not the cause of a condition. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {
  HEALTHY_CONDITIONS,
  checkNoEjection,
} from '../lib/health-false-ejections.js';
import {ciSeeds} from '../lib/seeds.js';

// The naive selector ejects by consecutive faults, which these two cause.
const NAIVE_EJECTS = [
  'a slowdown of the whole service beyond its capacity',
  'one instance with a cut path to a server',
];

describe('false ejections', () => {
  for (const condition of HEALTHY_CONDITIONS) {
    for (const seed of ciSeeds(2)) {
      it(`none under ${condition.name}, seed ${seed}`, () =>
        checkNoEjection(condition, seed));
    }
  }

  for (const name of NAIVE_EJECTS) {
    it(`finds those of the naive selector under ${name}`, async () => {
      const condition = HEALTHY_CONDITIONS.find(one => one.name === name)!;
      const [seed] = ciSeeds(1);
      await expect(
        checkNoEjection(condition, seed!, 'random'),
      ).toBeRejectedWith(`seed ${seed}`);
    });
  }
});
