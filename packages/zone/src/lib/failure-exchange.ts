/**
 * Tells the instances of a region of backend servers that failed, and those of
 * other regions of servers that failed a trial too, through the leaders of the
 * zones.
 *
 * One instance alone sees too few requests to notice a gray server. Other
 * regions use the server less, and bytes to them cost most, so that they hear
 * only of what lasts. Nothing is sent while all is well.
 */
import type {PeerNetwork} from '@fireflytrack/wire';
import {z} from 'zod';
import type {Leader} from './leader-row.js';
import type {ZoneElection} from './zone-election.js';

export interface FailureExchangeOptions {
  network: PeerNetwork;
  election: Pick<
    ZoneElection,
    'isLeader' | 'reachableLeader' | 'otherLeaders' | 'connect'
  >;
  onFailure(failure: ServerFailure): void;
}

const FAILURE = 'server.failed';
// A leader passes on one failure of a server within this time.
const PASS_ON_PAUSE_MS = 1000;
// Opening a connection to another zone takes three round trips.
const CONNECT_WAIT_MS = 200;

const serverFailureSchema = z.object({
  serverId: z.string(),
  service: z.string(),
  /** The server had failed before, and failed its trial too. */
  failedTrial: z.boolean(),
});
export type ServerFailure = z.infer<typeof serverFailureSchema>;

const messageSchema = serverFailureSchema.extend({
  /** Whom the leader that receives it tells. */
  scope: z.enum(['fleet', 'region', 'zone']),
});
type FailureMessage = z.infer<typeof messageSchema>;

export class FailureExchange {
  private readonly passedOnAtMs = new Map<string, number>();

  private constructor(private readonly options: FailureExchangeOptions) {
    options.network.onMessage(FAILURE, (from, payload) =>
      this.receive(from.instanceId, payload),
    );
  }

  static create(options: FailureExchangeOptions): FailureExchange {
    return new FailureExchange(options);
  }

  report(failure: ServerFailure): void {
    const {network, election} = this.options;
    const message: FailureMessage = {...failure, scope: 'fleet'};
    if (election.isLeader) this.passOn(message, network.self.instanceId);
    const leader = election.reachableLeader;
    if (leader) network.send(leader.instanceId, FAILURE, message);
  }

  private receive(sender: string, payload: unknown): void {
    const message = messageSchema.parse(payload);
    const {serverId, service, failedTrial} = message;
    this.options.onFailure({serverId, service, failedTrial});
    if (this.options.election.isLeader) this.passOn(message, sender);
  }

  private passOn(message: FailureMessage, sender: string): void {
    if (!this.isDue(message.serverId)) return;
    const {network} = this.options;
    const {availabilityZone, region} = network.self;
    for (const peer of network.peers()) {
      const sameZone = peer.availabilityZone === availabilityZone;
      if (sameZone && peer.instanceId !== sender) {
        network.send(peer.instanceId, FAILURE, message);
      }
    }
    if (message.scope === 'zone') return;
    for (const [other, leaders] of this.leadersByRegion()) {
      if (other === region) {
        for (const leader of leaders) {
          void this.tellOneOf([leader], {...message, scope: 'zone'});
        }
      } else if (message.scope === 'fleet' && message.failedTrial) {
        // One leader tells its region: bytes between regions cost most.
        void this.tellOneOf(leaders, {...message, scope: 'region'});
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

  /** Tells the first of the leaders that is reached. */
  private async tellOneOf(
    leaders: readonly Leader[],
    message: FailureMessage,
  ): Promise<void> {
    const {network, election} = this.options;
    for (const leader of leaders) {
      if (!(await election.connect(leader, CONNECT_WAIT_MS))) continue;
      network.send(leader.instanceId, FAILURE, message);
      return;
    }
    // Zones that cannot be reached find the failure by themselves.
  }

  private isDue(serverId: string): boolean {
    const nowMs = performance.now();
    for (const [known, atMs] of this.passedOnAtMs) {
      if (nowMs - atMs >= PASS_ON_PAUSE_MS) this.passedOnAtMs.delete(known);
    }
    if (this.passedOnAtMs.has(serverId)) return false;
    this.passedOnAtMs.set(serverId, nowMs);
    return true;
  }
}
