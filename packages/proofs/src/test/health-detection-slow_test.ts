/** Checks the detection target for a slow server: p99 within 1 s. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {GRAY_FAULTS, checkDetection} from '../lib/health-detection.js';
import {ciSeeds} from '../lib/seeds.js';

const FAULT = GRAY_FAULTS['slow']!;

describe('detection of a slow server', () => {
  it('stops ordinary traffic within 1 s at p99 over 100 seeds', () =>
    checkDetection(ciSeeds(100), FAULT));

  it('detects that the naive selector keeps sending', async () => {
    const seeds = ciSeeds(3);
    await expect(checkDetection(seeds, FAULT, 'random')).toBeRejectedWith(
      `seed ${seeds[0]}`,
    );
  });
});
