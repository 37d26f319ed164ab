/** Errors of waiting for a slot; the request was not run in either case. */

export interface QueueError {
  /**
   * `queue-full`: the team already has as many requests waiting as it may.
   * `deadline`: no slot became free in time.
   */
  kind: 'queue-full' | 'deadline';
  message: string;
}

export function queueError(
  kind: QueueError['kind'],
  message: string,
): QueueError {
  return {kind, message};
}
