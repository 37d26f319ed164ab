/** Requests to peers that have no reply yet. */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {peerError} from './peer-error.js';
import type {PeerError} from './peer-error.js';

interface PendingRequest {
  instanceId: string;
  settle(result: Result<unknown, PeerError>): void;
}

export class PendingRequests {
  private readonly pending = new Map<number, PendingRequest>();
  private nextId = 1;

  /**
   * Allocates a request id, calls `send` with it and waits for the reply.
   * Resolves with `unreachable` when `send` returns false and with `timeout`
   * after `timeoutMs`.
   */
  start(
    instanceId: string,
    timeoutMs: number,
    send: (requestId: number) => boolean,
  ): Promise<Result<unknown, PeerError>> {
    const requestId = this.nextId++;
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        this.fail(requestId, peerError('timeout', `no reply: ${instanceId}`));
      }, timeoutMs);
      const settle = (result: Result<unknown, PeerError>) => {
        clearTimeout(timer);
        this.pending.delete(requestId);
        resolve(result);
      };
      this.pending.set(requestId, {instanceId, settle});
      if (send(requestId)) return;
      this.fail(requestId, peerError('unreachable', `not sent: ${instanceId}`));
    });
  }

  /** Settles the request with its reply; ignores late replies and other peers. */
  settleByReply(
    instanceId: string,
    requestId: number,
    error: string | undefined,
    payload: unknown,
  ): void {
    const request = this.pending.get(requestId);
    if (request?.instanceId !== instanceId) return;
    if (error === undefined) request.settle(Ok(payload));
    else request.settle(Err(peerError('rejected', error)));
  }

  /**
   * Fails all requests to a peer whose connection ended, as `timeout`: it may
   * have processed any of them.
   */
  failAll(instanceId: string): void {
    for (const [requestId, request] of this.pending) {
      if (request.instanceId !== instanceId) continue;
      this.fail(requestId, peerError('timeout', 'the connection ended'));
    }
  }

  private fail(requestId: number, error: PeerError): void {
    this.pending.get(requestId)?.settle(Err(error));
  }
}
