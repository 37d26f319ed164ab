/** Guards against readmitting a flapping server after every flap. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {checkFlapping} from '../lib/health-detection.js';
import {ciSeeds} from '../lib/seeds.js';

// 600 s. The naive selector readmits a server every 30 s, in this time more
// often than a backoff that starts at 5 s and doubles allows.
const NAIVE_FLAPS = 100;

describe('readmission of a flapping server', () => {
  for (const seed of ciSeeds(2)) {
    it(`follows the backoff, seed ${seed}`, () => checkFlapping(seed));
  }

  it('detects that the naive selector readmits too often', async () => {
    const [seed] = ciSeeds(1);
    await expect(checkFlapping(seed!, 'random', NAIVE_FLAPS)).toBeRejectedWith(
      `seed ${seed}`,
    );
  });
});
