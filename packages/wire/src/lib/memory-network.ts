/**
 * In-process peer networks for tests and experiments. Each pair of instances
 * has a configurable one-way delay and can be disconnected in one direction.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {peerError} from './peer-error.js';
import type {PeerError} from './peer-error.js';
import type {
  MessageHandler,
  PeerIdentity,
  PeerNetwork,
  RequestHandler,
} from './peer-network.js';

export interface MemoryNetworkOptions {
  /** One-way delay of a message, in milliseconds. */
  delayMs?(from: PeerIdentity, to: PeerIdentity): number;
}

/** All instances of a test fleet and the links between them. */
export class MemoryNetwork {
  private readonly nodes = new Map<string, MemoryPeerNetwork>();
  private readonly blockedLinks = new Set<string>();
  /** Messages that wait for a suspended instance, by its id. */
  private readonly heldMessages = new Map<string, (() => void)[]>();
  /** Messages delivered so far by kind; requests and replies count separately. */
  readonly deliveredByKind = new Map<string, number>();

  private constructor(private readonly options: MemoryNetworkOptions) {}

  static create(options: MemoryNetworkOptions = {}): MemoryNetwork {
    return new MemoryNetwork(options);
  }

  join(self: PeerIdentity): PeerNetwork {
    const node = new MemoryPeerNetwork(self, this);
    this.nodes.set(self.instanceId, node);
    return node;
  }

  leave(instanceId: string): void {
    this.nodes.delete(instanceId);
  }

  /** Drops all messages from `from` to `to`; the other direction still works. */
  cut(from: string, to: string): void {
    this.blockedLinks.add(`${from}>${to}`);
  }

  heal(from: string, to: string): void {
    this.blockedLinks.delete(`${from}>${to}`);
  }

  /** Holds all messages to the instance until `resume`. */
  suspend(instanceId: string): void {
    if (!this.heldMessages.has(instanceId)) {
      this.heldMessages.set(instanceId, []);
    }
  }

  /** Delivers the messages that were held. */
  resume(instanceId: string): void {
    const held = this.heldMessages.get(instanceId) ?? [];
    this.heldMessages.delete(instanceId);
    for (const deliver of held) deliver();
  }

  identities(): PeerIdentity[] {
    return [...this.nodes.values()].map(node => node.self);
  }

  deliver(
    from: PeerIdentity,
    to: string,
    kind: string,
    action: (node: MemoryPeerNetwork) => void,
  ): void {
    const target = this.nodes.get(to);
    if (!target || !this.nodes.has(from.instanceId)) return;
    if (this.blockedLinks.has(`${from.instanceId}>${to}`)) return;
    const delayMs = this.options.delayMs?.(from, target.self) ?? 0;
    const arrive = () => {
      // The target may have left while the message was in flight.
      if (this.nodes.get(to) !== target) return;
      this.deliveredByKind.set(kind, (this.deliveredByKind.get(kind) ?? 0) + 1);
      action(target);
    };
    setTimeout(() => {
      const held = this.heldMessages.get(to);
      if (held) held.push(arrive);
      else arrive();
    }, delayMs);
  }
}

class MemoryPeerNetwork implements PeerNetwork {
  private readonly messageHandlers = new Map<string, MessageHandler[]>();
  private readonly requestHandlers = new Map<string, RequestHandler>();

  constructor(
    readonly self: PeerIdentity,
    private readonly network: MemoryNetwork,
  ) {}

  peers(): readonly PeerIdentity[] {
    const self = this.self.instanceId;
    return this.network
      .identities()
      .filter(identity => identity.instanceId !== self);
  }

  send(instanceId: string, kind: string, payload: unknown): void {
    const copy = structuredClone(payload);
    this.network.deliver(this.self, instanceId, kind, node =>
      node.dispatchMessage(this.self, kind, copy),
    );
  }

  broadcast(kind: string, payload: unknown): void {
    for (const peer of this.peers()) this.send(peer.instanceId, kind, payload);
  }

  request(
    instanceId: string,
    kind: string,
    payload: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    const copy = structuredClone(payload);
    return new Promise(resolve => {
      const timer = setTimeout(
        () => resolve(Err(peerError('timeout', `no reply from ${instanceId}`))),
        timeoutMs,
      );
      const settle = (result: Result<unknown, PeerError>) => {
        clearTimeout(timer);
        resolve(result);
      };
      this.network.deliver(this.self, instanceId, kind, node => {
        void node
          .handleRequest(this.self, kind, copy)
          .then(result =>
            this.network.deliver(node.self, this.self.instanceId, kind, () =>
              settle(result),
            ),
          );
      });
    });
  }

  onMessage(kind: string, handler: MessageHandler): void {
    const handlers = this.messageHandlers.get(kind) ?? [];
    this.messageHandlers.set(kind, [...handlers, handler]);
  }

  onRequest(kind: string, handler: RequestHandler): void {
    this.requestHandlers.set(kind, handler);
  }

  dispatchMessage(from: PeerIdentity, kind: string, payload: unknown): void {
    for (const handler of this.messageHandlers.get(kind) ?? []) {
      handler(from, payload);
    }
  }

  async handleRequest(
    from: PeerIdentity,
    kind: string,
    payload: unknown,
  ): Promise<Result<unknown, PeerError>> {
    const handler = this.requestHandlers.get(kind);
    if (!handler) return Err(peerError('rejected', `no handler for ${kind}`));
    try {
      return Ok(structuredClone(await handler(from, payload)));
    } catch (error) {
      return Err(peerError('rejected', String(error)));
    }
  }
}
