/** Requests to peers that wait for their answers. */
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

  /** Calls `send` with the id of a new request and waits for its answer. */
  start(
    instanceId: string,
    timeoutMs: number,
    send: (requestId: number) => boolean,
  ): Promise<Result<unknown, PeerError>> {
    const requestId = this.nextId++;
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        this.fail(requestId, peerError('timeout', `no answer: ${instanceId}`));
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

  /** Takes an answer; one that is late or from another peer is dropped. */
  answer(
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

  /** The connection to a peer ended; it may have acted on each request. */
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
