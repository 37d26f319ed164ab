/** Seeds of the property runs: fixed in CI, fresh in the soak test. */
import fc from 'fast-check';

const DEFAULT_SEED = 20261204;

/** The seeds that CI runs, from FIREFLYTRACK_SEED. */
export function ciSeeds(count: number): number[] {
  const first = Number(process.env['FIREFLYTRACK_SEED'] ?? DEFAULT_SEED);
  return Array.from({length: count}, (_, index) => first + index);
}

/** One property that the soak test repeats with fresh seeds. */
export interface SeededRun {
  name: string;
  /** Rejects with the seed in its message when the property does not hold. */
  run(seed: number): Promise<void>;
}

/**
 * Runs a fast-check property with each seed; a failure carries the seed, the
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
