/** Seeds of the property runs: fixed in CI, new ones in the soak test. */
import fc from 'fast-check';

const DEFAULT_SEED = 20261204;

/** Returns `count` consecutive seeds, from FIREFLYTRACK_SEED if it is set. */
export function ciSeeds(count: number): number[] {
  const firstSeed = Number(process.env['FIREFLYTRACK_SEED'] ?? DEFAULT_SEED);
  return Array.from({length: count}, (_, index) => firstSeed + index);
}

/** A property that CI runs with fixed seeds and the soak test with new ones. */
export interface SeededRun {
  name: string;
  /** Rejects with the seed in the message if the property is violated. */
  run(seed: number): Promise<void>;
}

/**
 * Runs a fast-check property with each seed. A failure reports the seed, the
 * path and the shrunk counterexample.
 */
export async function runSeeds<T>(
  property: fc.IAsyncProperty<T>,
  seeds: readonly number[],
  runsPerSeed: number,
): Promise<void> {
  for (const seed of seeds) {
    const includeErrorInReport = true;
    await fc.assert(property, {
      seed,
      numRuns: runsPerSeed,
      includeErrorInReport,
    });
  }
}
