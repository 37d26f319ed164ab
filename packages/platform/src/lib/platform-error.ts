/** Errors that clients of the platform's services return. */

export interface PlatformError {
  /**
   * `unavailable`: the request had no effect.
   * `outcome-unknown`: the request was sent but no valid response arrived; it
   * may have taken effect, or may still do so.
   */
  kind: 'unavailable' | 'outcome-unknown';
  message: string;
}

export function platformError(
  kind: PlatformError['kind'],
  message: string,
): PlatformError {
  return {kind, message};
}
