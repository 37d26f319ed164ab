/**
 * Links between the instances of a simulated fleet: connections that are opened
 * on demand, cut links and ended processes. Time is the runtime's clock, which
 * tests advance.
 */
import {Err} from '@fireflytrack/result';
import {MemoryNetwork, peerError} from '@fireflytrack/wire';
import type {PeerDialer, PeerIdentity, PeerNetwork} from '@fireflytrack/wire';

interface LinkState {
  /** Cut off from the other instances. */
  isCutOff: boolean;
  hasEnded: boolean;
}

const NETWORK_DELAY_MS = 1;
const OTHER_REGION_DELAY_MS = 8;
const CONNECT_MS = 3;
// A connection whose other side is silent is closed after this time.
const SILENCE_MS = 5000;

export class SimulatedLinks {
  private readonly network = MemoryNetwork.create({
    delayMs: (from, to) =>
      from.region === to.region ? NETWORK_DELAY_MS : OTHER_REGION_DELAY_MS,
  });
  private readonly states = new Map<string, LinkState>();
  /** Connected pairs, each by both ids in order. */
  private readonly connections = new Set<string>();

  static create(): SimulatedLinks {
    return new SimulatedLinks();
  }

  /** Starts a process at the links of its instance. */
  join(identity: PeerIdentity): PeerNetwork & PeerDialer {
    const {instanceId} = identity;
    this.states.set(instanceId, {isCutOff: false, hasEnded: false});
    return this.createDialer(this.network.join(identity));
  }

  /**
   * Cuts an instance off from the others. With `resets`, its connections end at
   * once, otherwise when they have been silent for too long.
   */
  cutOff(instanceId: string, {resets}: {resets: boolean}): void {
    const state = this.states.get(instanceId)!;
    state.isCutOff = true;
    for (const other of this.states.keys()) {
      this.network.cut(instanceId, other);
      this.network.cut(other, instanceId);
    }
    const close = () => this.closeAll(instanceId);
    if (resets) close();
    else setTimeout(() => state.isCutOff && close(), SILENCE_MS);
  }

  heal(instanceId: string): void {
    this.states.get(instanceId)!.isCutOff = false;
    for (const [other, {isCutOff}] of this.states) {
      if (isCutOff) continue;
      this.network.heal(instanceId, other);
      this.network.heal(other, instanceId);
    }
  }

  /** Ends the process of an instance. */
  end(instanceId: string): void {
    this.states.get(instanceId)!.hasEnded = true;
    this.closeAll(instanceId);
    this.network.leave(instanceId);
  }

  private closeAll(instanceId: string): void {
    for (const pair of this.connections) {
      if (pair.split(' ').includes(instanceId)) this.connections.delete(pair);
    }
  }

  private createDialer(peers: PeerNetwork): PeerNetwork & PeerDialer {
    const ownId = peers.self.instanceId;
    const pairWith = (id: string) => [ownId, id].sort().join(' ');
    const isConnected = (id: string) => this.connections.has(pairWith(id));
    const refused = new Set<string>();
    return {
      self: peers.self,
      peers: () =>
        peers.peers().filter(({instanceId}) => isConnected(instanceId)),
      send: (id, kind, payload) => {
        if (isConnected(id)) peers.send(id, kind, payload);
      },
      broadcast: (kind, payload) => peers.broadcast(kind, payload),
      request: async (id, kind, payload, timeoutMs) =>
        isConnected(id)
          ? peers.request(id, kind, payload, timeoutMs)
          : Err(peerError('unreachable', 'not connected')),
      onMessage: (kind, handler) => peers.onMessage(kind, handler),
      onRequest: (kind, handler) => peers.onRequest(kind, handler),
      connectTo: ({instanceId}) => {
        setTimeout(() => {
          const own = this.states.get(ownId);
          const other = this.states.get(instanceId);
          if (!own || !other || own.isCutOff || other.isCutOff) return;
          if (other.hasEnded) refused.add(instanceId);
          else this.connections.add(pairWith(instanceId));
        }, CONNECT_MS);
      },
      disconnect: id => {
        refused.delete(id);
        this.connections.delete(pairWith(id));
      },
      wasRefused: id => refused.has(id),
    };
  }
}
