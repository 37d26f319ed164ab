/** Guards the detection target: p99 within 1 s for a slow server. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {GRAY_FAULTS, checkDetection} from '../lib/health-detection.js';
import {ciSeeds} from '../lib/seeds.js';

const FAULT = GRAY_FAULTS['slow']!;

describe('detection of a slow server', () => {
  it('ends ordinary traffic within 1 s at p99 of 100 seeds', () =>
    checkDetection(ciSeeds(100), FAULT));

  it('finds that the naive selector goes on sending', async () => {
    const seeds = ciSeeds(3);
    await expect(checkDetection(seeds, FAULT, 'random')).toBeRejectedWith(
      `seed ${seeds[0]}`,
    );
  });
});
