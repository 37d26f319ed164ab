/** Errors of requests between instances. */

export interface PeerError {
  /**
   * `unreachable`: the request was not sent. `timeout`: no answer came in
   * time; the peer may have acted. `rejected`: the peer refused or failed.
   */
  kind: 'unreachable' | 'timeout' | 'rejected';
  message: string;
}

export function peerError(kind: PeerError['kind'], message: string): PeerError {
  return {kind, message};
}
