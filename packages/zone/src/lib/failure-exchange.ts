/**
 * Tells the instances of the fleet of backend servers that failed, through the
 * leaders of the zones.
 *
 * One instance alone sees too few requests to notice a gray server, and a
 * server whose zone avoids others is used from other regions too. Nothing is
 * sent while all is well.
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
// Opening a connection to another region takes three round trips of 20 ms.
const CONNECT_WAIT_MS = 200;

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
    if (!this.isDue(message.serverId)) return;
    const {network, election} = this.options;
    const {availabilityZone} = network.self;
    for (const peer of network.peers()) {
      const sameZone = peer.availabilityZone === availabilityZone;
      if (sameZone && peer.instanceId !== sender) {
        network.send(peer.instanceId, FAILURE, message);
      }
    }
    if (message.fromOtherZone) return;
    for (const leader of election.otherLeaders) {
      void this.tellZone(leader, {...message, fromOtherZone: true});
    }
  }

  private async tellZone(
    leader: Leader,
    message: z.infer<typeof messageSchema>,
  ): Promise<void> {
    const {network, election} = this.options;
    // A zone that cannot be reached finds the failure by itself.
    if (!(await election.connect(leader, CONNECT_WAIT_MS))) return;
    network.send(leader.instanceId, FAILURE, message);
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
