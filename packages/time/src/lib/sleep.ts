/** A delay that fake timers in tests can advance. */

/**
 * Resolves after `durationMs`; a negative duration counts as 0. It uses the
 * global `setTimeout`, because fake timers do not replace
 * `node:timers/promises`.
 */
export function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, durationMs)));
}
