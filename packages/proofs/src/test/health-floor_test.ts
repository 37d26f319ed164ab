/** Guards P1: ejections must not reduce the capacity in rotation below the floor. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {checkFloor} from '../lib/health-floor.js';
import {ciSeeds} from '../lib/seeds.js';

describe('P1: capacity floor', () => {
  for (const seed of ciSeeds(3)) {
    it(`holds under faults at random moments, seed ${seed}`, () =>
      checkFloor(seed));
  }

  for (const variant of ['random', 'without-floor'] as const) {
    it(`detects that the naive variant ${variant} falls below the floor`, async () => {
      const [seed] = ciSeeds(1);
      await expect(checkFloor(seed!, variant)).toBeRejectedWith(
        `seed: ${seed}`,
      );
    });
  }
});
