/**
 * Messages between the instances of one fleet.
 *
 * A message is lost, late or repeated without notice; a request adds a
 * correlated answer with a timeout. Receivers parse every payload by a schema.
 */
import type {Result} from '@fireflytrack/result';
import type {PeerError} from './peer-error.js';

export interface PeerIdentity {
  instanceId: string;
  availabilityZone: string;
  region: string;
}

export type MessageHandler = (from: PeerIdentity, payload: unknown) => void;
export type RequestHandler = (
  from: PeerIdentity,
  payload: unknown,
) => unknown | Promise<unknown>;

export interface PeerNetwork {
  readonly self: PeerIdentity;
  /** Peers with an open connection now, without this instance. */
  peers(): readonly PeerIdentity[];
  send(instanceId: string, kind: string, payload: unknown): void;
  broadcast(kind: string, payload: unknown): void;
  request(
    instanceId: string,
    kind: string,
    payload: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>>;
  onMessage(kind: string, handler: MessageHandler): void;
  onRequest(kind: string, handler: RequestHandler): void;
}
