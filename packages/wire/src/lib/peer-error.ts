/** Errors of requests between instances. */

export interface PeerError {
  /**
   * `unreachable`: the request was not sent. `timeout`: no reply arrived in
   * time, but the peer may have processed the request. `rejected`: the peer
   * refused the request or its handler failed.
   */
  kind: 'unreachable' | 'timeout' | 'rejected';
  message: string;
}

export function peerError(kind: PeerError['kind'], message: string): PeerError {
  return {kind, message};
}
