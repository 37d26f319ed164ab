/**
 * Tells the instances of a zone and its region of backend servers that failed.
 *
 * One instance alone sees too few requests to notice a gray server; nothing is
 * sent while all is well.
 */
import type {PeerNetwork} from '@fireflytrack/wire';
import {z} from 'zod';
import type {ZoneElection} from './zone-election.js';

export interface FailureExchangeOptions {
  network: PeerNetwork;
  election: ZoneElection;
  onFailure(failure: ServerFailure): void;
}

const FAILURE = 'server.failed';

const serverFailureSchema = z.object({
  serverId: z.string(),
  service: z.string(),
});
export type ServerFailure = z.infer<typeof serverFailureSchema>;

const messageSchema = serverFailureSchema.extend({
  /** Set by a leader that passed the message on to another zone. */
  fromOtherZone: z.boolean(),
});

export class FailureExchange {
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
    const message = {...failure, fromOtherZone: false};
    if (election.isLeader) this.passOn(message, network.self.instanceId);
    const leader = election.reachableLeader;
    if (leader) network.send(leader.instanceId, FAILURE, message);
  }

  private receive(sender: string, payload: unknown): void {
    const message = messageSchema.parse(payload);
    const {serverId, service} = message;
    this.options.onFailure({serverId, service});
    if (this.options.election.isLeader) this.passOn(message, sender);
  }

  private passOn(message: z.infer<typeof messageSchema>, sender: string): void {
    const {network, election} = this.options;
    const {availabilityZone, region} = network.self;
    for (const peer of network.peers()) {
      const sameZone = peer.availabilityZone === availabilityZone;
      if (sameZone && peer.instanceId !== sender) {
        network.send(peer.instanceId, FAILURE, message);
      }
    }
    if (message.fromOtherZone) return;
    for (const leader of election.otherLeaders) {
      if (leader.region !== region) continue;
      const onward = {...message, fromOtherZone: true};
      network.send(leader.instanceId, FAILURE, onward);
    }
  }
}
