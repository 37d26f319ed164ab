/** Guards P1: ejection must not take healthy capacity below the floor. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {checkFloor} from '../lib/health-floor.js';
import {ciSeeds} from '../lib/seeds.js';

describe('P1: capacity floor', () => {
  for (const seed of ciSeeds(3)) {
    it(`holds for faults at any moment, seed ${seed}`, () => checkFloor(seed));
  }

  for (const variant of ['random', 'without-floor'] as const) {
    it(`finds the naive variant ${variant} under the floor`, async () => {
      const [seed] = ciSeeds(1);
      await expect(checkFloor(seed!, variant)).toBeRejectedWith(
        `seed: ${seed}`,
      );
    });
  }
});
