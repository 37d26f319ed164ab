/** Guards P9: a draining server must get no new requests after 3 s. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {checkDraining} from '../lib/health-draining.js';
import {ciSeeds} from '../lib/seeds.js';

describe('P9: draining servers', () => {
  for (const seed of ciSeeds(3)) {
    it(`get no new requests, also under other faults, seed ${seed}`, () =>
      checkDraining(seed));
  }

  it('detects that the naive selector keeps sending', async () => {
    const [seed] = ciSeeds(1);
    await expect(checkDraining(seed!, 'random')).toBeRejectedWith(
      `seed: ${seed}`,
    );
  });
});
