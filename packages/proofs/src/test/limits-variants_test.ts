/** Guards against a checker that misses admissions above the limits. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {runSafety} from '../lib/limits-safety.js';
import {
  independentBuckets,
  lenderWithoutSubtracting,
  sharesRaisedBeforeWritten,
} from '../lib/limits-variants.js';
import {ciSeeds} from '../lib/seeds.js';

const SEEDS_TO_TRY = 6;

async function findViolation(
  createLimiter: typeof independentBuckets,
): Promise<string> {
  for (const seed of ciSeeds(SEEDS_TO_TRY)) {
    try {
      await runSafety({
        seed,
        instances: 3,
        durationMs: 12_000,
        faultKinds: ['join', 'replace', 'pause'],
        faultCount: 8,
        overload: 5,
        createLimiter,
      });
    } catch (error) {
      return String(error);
    }
  }
  return 'no violation found';
}

describe('limits checker', () => {
  for (const variant of [
    independentBuckets,
    lenderWithoutSubtracting,
    sharesRaisedBeforeWritten,
  ]) {
    it(`detects the violation by ${variant.name} and names the seed`, async () => {
      const message = await findViolation(variant);
      expect(/seed \d+: .*tokens too many/.test(message)).toEqual(true);
    });
  }
});
