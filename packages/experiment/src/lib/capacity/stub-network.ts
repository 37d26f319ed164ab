/** A peer network without peers that records the last broadcast of each kind. */
import {Err} from '@fireflytrack/result';
import {peerError} from '@fireflytrack/wire';
import type {
  MessageHandler,
  PeerIdentity,
  PeerNetwork,
  RequestHandler,
} from '@fireflytrack/wire';

const REGIONS = ['nord', 'sahel', 'sud'];

export function createIdentity(index: number): PeerIdentity {
  const region = REGIONS[index % REGIONS.length]!;
  const instanceId = `${region}-1-i${index}`;
  return {instanceId, availabilityZone: `${region}-1`, region};
}

export class StubNetwork implements PeerNetwork {
  readonly self = createIdentity(0);
  readonly lastBroadcast = new Map<string, unknown>();
  private readonly identities: PeerIdentity[];
  private readonly messageHandlers = new Map<string, MessageHandler>();
  private readonly requestHandlers = new Map<string, RequestHandler>();

  private constructor(peerCount: number) {
    this.identities = Array.from({length: peerCount}, (_, index) =>
      createIdentity(index + 1),
    );
  }

  static create(peerCount: number): StubNetwork {
    return new StubNetwork(peerCount);
  }

  peers(): readonly PeerIdentity[] {
    return this.identities;
  }

  send(): void {}

  broadcast(kind: string, payload: unknown): void {
    this.lastBroadcast.set(kind, payload);
  }

  request() {
    return Promise.resolve(Err(peerError('unreachable', 'no peers here')));
  }

  onMessage(kind: string, handler: MessageHandler): void {
    this.messageHandlers.set(kind, handler);
  }

  onRequest(kind: string, handler: RequestHandler): void {
    this.requestHandlers.set(kind, handler);
  }

  /** Delivers a message as if `peer` had sent it. */
  deliver(kind: string, peer: PeerIdentity, payload: unknown): void {
    this.messageHandlers.get(kind)?.(peer, payload);
  }

  /** Delivers a request as if `peer` had sent it; returns the reply. */
  deliverRequest(kind: string, peer: PeerIdentity, payload: unknown): unknown {
    return this.requestHandlers.get(kind)?.(peer, payload);
  }
}
