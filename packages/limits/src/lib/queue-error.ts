/**
 * Why a request did not get a slot. The request was not run in either case.
 */

export interface QueueError {
  /**
   * `queue-full`: the team has reached its limit of waiting requests.
   * `deadline`: no slot became free before the deadline.
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
