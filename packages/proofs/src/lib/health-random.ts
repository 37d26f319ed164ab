/** Seeded random numbers for the health fleet (mulberry32). */

export type Random = () => number;

/** Returns a generator of numbers in [0, 1) that depend on `seed` only. */
export function seededRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** Draws the time until the next event of a Poisson process. */
export function exponentialMs(random: Random, ratePerSecond: number): number {
  return (-Math.log(1 - random()) / ratePerSecond) * 1000;
}
