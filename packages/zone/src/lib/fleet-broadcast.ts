/**
 * Distributes a message to many instances through the zone leaders. An instance
 * sends it to its leader, which forwards it to the other instances of its zone
 * and to other leaders. One leader per region forwards it there, because traffic
 * between regions is the most expensive.
 */
import type {PeerNetwork} from '@fireflytrack/wire';
import {z} from 'zod';
import type {Leader} from './leader-row.js';
import type {ZoneElection} from './zone-election.js';

export interface FleetBroadcastOptions {
  network: PeerNetwork;
  election: Pick<
    ZoneElection,
    'isLeader' | 'reachableLeader' | 'otherLeaders' | 'connect'
  >;
  /** Kind of the peer message. */
  kind: string;
}

/** Instances to which the receiving leader forwards a message. */
export const scopeSchema = z.enum(['fleet', 'region', 'zone']);
export type Scope = z.infer<typeof scopeSchema>;

// Connecting to another zone takes three round trips.
const CONNECT_TIMEOUT_MS = 200;

export class FleetBroadcast {
  private constructor(private readonly options: FleetBroadcastOptions) {}

  static create(options: FleetBroadcastOptions): FleetBroadcast {
    return new FleetBroadcast(options);
  }

  /** Sends a message of this instance to the leader of its zone. */
  sendToLeader(message: object): void {
    const {network, election, kind} = this.options;
    const leader = election.reachableLeader;
    if (leader) network.send(leader.instanceId, kind, message);
  }

  /**
   * Forwards a message as a leader: to the instances of the zone except
   * `sender`, and to the leaders that `scope` covers. The message has a field
   * `scope`, which is set for each receiving leader.
   */
  forward(message: {scope: Scope}, sender: string, scope: Scope): void {
    const {network, kind} = this.options;
    const {availabilityZone, region} = network.self;
    for (const peer of network.peers()) {
      const sameZone = peer.availabilityZone === availabilityZone;
      if (sameZone && peer.instanceId !== sender) {
        network.send(peer.instanceId, kind, message);
      }
    }
    if (scope === 'zone') return;
    for (const [otherRegion, leaders] of this.leadersByRegion()) {
      if (otherRegion === region) {
        for (const leader of leaders) {
          void this.sendToFirstReachable([leader], {...message, scope: 'zone'});
        }
      } else if (scope === 'fleet') {
        void this.sendToFirstReachable(leaders, {...message, scope: 'region'});
      }
    }
  }

  private leadersByRegion(): Map<string, Leader[]> {
    const byRegion = new Map<string, Leader[]>();
    for (const leader of this.options.election.otherLeaders) {
      const leaders = byRegion.get(leader.region) ?? [];
      byRegion.set(leader.region, [...leaders, leader]);
    }
    return byRegion;
  }

  /** Sends the message to the first leader that can be reached. */
  private async sendToFirstReachable(
    leaders: readonly Leader[],
    message: {scope: Scope},
  ): Promise<void> {
    const {network, election, kind} = this.options;
    for (const leader of leaders) {
      if (!(await election.connect(leader, CONNECT_TIMEOUT_MS))) continue;
      network.send(leader.instanceId, kind, message);
      return;
    }
    // Zones that cannot be reached find out by themselves.
  }
}
