/** Guards P9: a leaving server must not get work for more than 3 s. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {checkLeaving} from '../lib/health-leaving.js';
import {ciSeeds} from '../lib/seeds.js';

describe('P9: leaving servers', () => {
  for (const seed of ciSeeds(3)) {
    it(`get no new work among other faults, seed ${seed}`, () =>
      checkLeaving(seed));
  }

  it('finds that the naive selector goes on sending', async () => {
    const [seed] = ciSeeds(1);
    await expect(checkLeaving(seed!, 'random')).toBeRejectedWith(
      `seed: ${seed}`,
    );
  });
});
