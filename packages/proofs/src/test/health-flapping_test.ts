/** Guards against readmitting a flapping server at each flap. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {checkFlapping} from '../lib/health-detection.js';
import {ciSeeds} from '../lib/seeds.js';

// The naive selector returns every 30 s: in 600 s, more often than a backoff
// that doubles from 5 s allows.
const NAIVE_FLAPS = 100;

describe('readmission of a flapping server', () => {
  for (const seed of ciSeeds(2)) {
    it(`follows the backoff, seed ${seed}`, () => checkFlapping(seed));
  }

  it('finds that the naive selector returns too often', async () => {
    const [seed] = ciSeeds(1);
    await expect(checkFlapping(seed!, 'random', NAIVE_FLAPS)).toBeRejectedWith(
      `seed ${seed}`,
    );
  });
});
