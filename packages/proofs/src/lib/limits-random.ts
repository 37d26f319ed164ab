/** Seeded random numbers for the simulated fleets (mulberry32). */

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

export function randomBetween(
  random: Random,
  low: number,
  high: number,
): number {
  return low + random() * (high - low);
}

export function pickRandom<T>(random: Random, items: readonly T[]): T {
  return items[Math.floor(random() * items.length)]!;
}
