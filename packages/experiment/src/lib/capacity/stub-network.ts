/** A peer network that hands over made-up messages and keeps the last sent. */
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
  private readonly requests = new Map<string, RequestHandler>();

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
    this.requests.set(kind, handler);
  }

  /** Delivers a message as if `peer` had sent it. */
  deliver(kind: string, peer: PeerIdentity, payload: unknown): void {
    this.messageHandlers.get(kind)?.(peer, payload);
  }

  deliverRequest(kind: string, peer: PeerIdentity, payload: unknown): unknown {
    return this.requests.get(kind)?.(peer, payload);
  }
}
