/**
 * The latency test: a server is slow when most of its answers take over three
 * times the median of comparable servers by the same reporter.
 *
 * Counting slow answers compares the server's own median with that of the
 * others, so that a few very slow answers decide nothing.
 */

const SLOW_FACTOR = 3;
const MIN_SAMPLES = 8;
const MOST = 0.5;

/** The factor over the others' median from which an answer is slow. */
export function slowFactor(halved: boolean): number {
  return halved ? SLOW_FACTOR / 2 : SLOW_FACTOR;
}

export function isSlow(
  samples: number,
  slowSamples: number,
  halved: boolean,
): boolean {
  const minSamples = halved ? MIN_SAMPLES / 2 : MIN_SAMPLES;
  return samples >= minSamples && slowSamples > samples * MOST;
}

/** Most answers were fast, by enough of them to say so. */
export function isFast(samples: number, slowSamples: number): boolean {
  return samples >= MIN_SAMPLES && slowSamples <= samples * 0.1;
}

/** Whether the samples lean to slow, without a minimum of samples. */
export function leansSlow(samples: number, slowSamples: number): boolean {
  return samples > 0 && slowSamples > samples * MOST;
}
