/**
 * Messages between the instances of one fleet.
 *
 * Messages may be lost, delayed or duplicated without notice. A request adds a
 * correlated reply and a timeout. Receivers validate every payload with a
 * schema.
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
  /** Peers that are currently connected; never includes this instance. */
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
