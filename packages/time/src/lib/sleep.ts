/** A pause that tests with a paused clock advance. */

/**
 * Resolves `durationMs` later; at once for a duration that is not positive. It
 * uses the global timer, because paused clocks do not replace that of
 * `node:timers/promises`.
 */
export function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, durationMs)));
}
