/** Seeded random numbers, which make scenarios reproducible. */

/** Returns a number of at least 0 and below 1. */
export type Random = () => number;

const UINT32 = 4_294_967_296;

/** Creates a mulberry32 generator, which is fast; not for cryptography. */
export function seededRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32;
  };
}

/** Samples a Poisson distribution of the given mean (Knuth's algorithm). */
export function samplePoisson(random: Random, mean: number): number {
  const limit = Math.exp(-mean);
  let product = random();
  let count = 0;
  while (product > limit) {
    count += 1;
    product *= random();
  }
  return count;
}

/** Returns a function that samples an index in proportion to its weight. */
export function createWeightedSampler(
  weights: readonly number[],
): (random: Random) => number {
  const cumulativeWeights: number[] = [];
  let total = 0;
  for (const weight of weights) cumulativeWeights.push((total += weight));
  return random => {
    const sample = random() * total;
    const index = cumulativeWeights.findIndex(sum => sample < sum);
    return index < 0 ? cumulativeWeights.length - 1 : index;
  };
}
