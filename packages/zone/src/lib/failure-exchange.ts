/**
 * Distributes failures of backend servers through the zone leaders: every
 * failure to the instances of the same region, and failed trials also to other
 * regions.
 *
 * A single instance sees too few requests to detect a gray server. Other
 * regions use the server less and traffic to them is the most expensive, so
 * they are notified of persistent failures only. Without failures nothing is
 * sent.
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

const FAILURE_KIND = 'server.failed';
// A leader forwards at most one failure per server within this time.
const MIN_FORWARD_INTERVAL_MS = 1000;
// Connecting to another zone takes three round trips.
const CONNECT_TIMEOUT_MS = 200;

const serverFailureSchema = z.object({
  serverId: z.string(),
  service: z.string(),
  /**
   * Whether the server also failed the trial that followed an earlier failure.
   */
  failedTrial: z.boolean(),
});
export type ServerFailure = z.infer<typeof serverFailureSchema>;

const messageSchema = serverFailureSchema.extend({
  /** Instances to which the receiving leader forwards the failure. */
  scope: z.enum(['fleet', 'region', 'zone']),
});
type FailureMessage = z.infer<typeof messageSchema>;

export class FailureExchange {
  private readonly forwardedAtMs = new Map<string, number>();

  private constructor(private readonly options: FailureExchangeOptions) {
    options.network.onMessage(FAILURE_KIND, (from, payload) =>
      this.receive(from.instanceId, payload),
    );
  }

  static create(options: FailureExchangeOptions): FailureExchange {
    return new FailureExchange(options);
  }

  report(failure: ServerFailure): void {
    const {network, election} = this.options;
    const message: FailureMessage = {...failure, scope: 'fleet'};
    if (election.isLeader) this.forward(message, network.self.instanceId);
    const leader = election.reachableLeader;
    if (leader) network.send(leader.instanceId, FAILURE_KIND, message);
  }

  private receive(sender: string, payload: unknown): void {
    const message = messageSchema.parse(payload);
    const {serverId, service, failedTrial} = message;
    this.options.onFailure({serverId, service, failedTrial});
    if (this.options.election.isLeader) this.forward(message, sender);
  }

  private forward(message: FailureMessage, sender: string): void {
    if (!this.tryMarkForwarded(message.serverId)) return;
    const {network} = this.options;
    const {availabilityZone, region} = network.self;
    for (const peer of network.peers()) {
      const sameZone = peer.availabilityZone === availabilityZone;
      if (sameZone && peer.instanceId !== sender) {
        network.send(peer.instanceId, FAILURE_KIND, message);
      }
    }
    if (message.scope === 'zone') return;
    for (const [otherRegion, leaders] of this.leadersByRegion()) {
      if (otherRegion === region) {
        for (const leader of leaders) {
          void this.sendToFirstReachable([leader], {...message, scope: 'zone'});
        }
      } else if (message.scope === 'fleet' && message.failedTrial) {
        // One leader per region forwards it there: traffic between regions is
        // the most expensive.
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
    message: FailureMessage,
  ): Promise<void> {
    const {network, election} = this.options;
    for (const leader of leaders) {
      if (!(await election.connect(leader, CONNECT_TIMEOUT_MS))) continue;
      network.send(leader.instanceId, FAILURE_KIND, message);
      return;
    }
    // Zones that cannot be reached detect the failure themselves.
  }

  private tryMarkForwarded(serverId: string): boolean {
    const nowMs = performance.now();
    for (const [forwardedId, atMs] of this.forwardedAtMs) {
      if (nowMs - atMs >= MIN_FORWARD_INTERVAL_MS)
        this.forwardedAtMs.delete(forwardedId);
    }
    if (this.forwardedAtMs.has(serverId)) return false;
    this.forwardedAtMs.set(serverId, nowMs);
    return true;
  }
}
