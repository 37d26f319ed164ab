/**
 * When a new instance may serve: the store and at least 3 peers, or all that
 * it knows if fewer, were asked and the newest answer won.
 *
 * Peers that are starting themselves count only beside a complete read of the
 * store. An instance that reaches neither store nor peers never gets ready.
 */
import {rankByRendezvous} from '@fireflytrack/membership';
import type {Membership} from '@fireflytrack/membership';
import type {PeerNetwork} from '@fireflytrack/wire';
import {sleep} from '@fireflytrack/time';
import type {PeerExchange} from './peer-exchange.js';
import type {StorePolling} from './store-polling.js';

export interface StartRuleOptions {
  network: PeerNetwork;
  membership: Membership;
  exchange: PeerExchange;
  polling: StorePolling;
}

const REQUIRED_PEERS = 3;
// Some of the peers asked may have ended without notice.
const ASKED_PEERS = 6;
const RETRY_MS = 200;
// Listed peers that do not answer hold up a start from the store for so long.
const PEER_WAIT_MS = 3000;

export class StartRule {
  private fulfilled = false;
  private stopped = false;

  private constructor(private readonly options: StartRuleOptions) {}

  static create(options: StartRuleOptions): StartRule {
    return new StartRule(options);
  }

  isFulfilled(): boolean {
    return this.fulfilled;
  }

  stop(): void {
    this.stopped = true;
  }

  /** Asks peers until the rule is met. */
  async run(): Promise<void> {
    const startedAtMs = performance.now();
    for (let attempt = 0; !this.stopped; attempt += 1) {
      const waited = performance.now() - startedAtMs >= PEER_WAIT_MS;
      this.fulfilled = await this.ask(attempt, waited);
      if (this.fulfilled) return;
      await sleep(RETRY_MS);
    }
  }

  private async ask(attempt: number, waited: boolean): Promise<boolean> {
    const {network, exchange, polling} = this.options;
    const known = this.knownPeers();
    const wanted = Math.min(REQUIRED_PEERS, known.length);
    // Each attempt asks other peers, and each instance in another order.
    const order = `${network.self.instanceId} ${attempt}`;
    const asked = rankByRendezvous(order, known).slice(0, ASKED_PEERS);
    const answers = await Promise.all(asked.map(id => exchange.fetchFrom(id)));
    const ready = answers.filter(answer => answer === 'ready').length;
    const answered = answers.filter(answer => answer !== 'no-answer').length;
    const byPeers = polling.finishedReads > 0 && ready > 0 && ready >= wanted;
    const byStore = polling.completeReads > 0 && (answered >= wanted || waited);
    return byPeers || byStore;
  }

  private knownPeers(): string[] {
    const {network, membership} = this.options;
    const ids = new Set(network.peers().map(peer => peer.instanceId));
    for (const member of membership.others()) {
      if (member.listed) ids.add(member.identity.instanceId);
    }
    return [...ids];
  }
}
