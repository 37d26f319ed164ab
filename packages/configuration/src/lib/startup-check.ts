/**
 * Decides when a new instance may serve: after it queried the store and at least
 * 3 peers (all known peers if fewer) and applied the newest response.
 *
 * Peers that are starting themselves count only together with a complete read of
 * the store. An instance that reaches neither store nor peers never becomes
 * ready.
 */
import {rankByRendezvous} from '@fireflytrack/membership';
import type {Membership} from '@fireflytrack/membership';
import type {PeerNetwork} from '@fireflytrack/wire';
import {sleep} from '@fireflytrack/time';
import type {PeerExchange} from './peer-exchange.js';
import type {StorePolling} from './store-polling.js';

export interface StartupCheckOptions {
  network: PeerNetwork;
  membership: Membership;
  exchange: PeerExchange;
  polling: StorePolling;
}

const REQUIRED_PEERS = 3;
// More than required, as some of the queried peers may have crashed.
const QUERIED_PEERS = 6;
const RETRY_PERIOD_MS = 200;
// Longest delay of a startup from the store by unresponsive listed peers.
const PEER_WAIT_MS = 3000;

export class StartupCheck {
  private passed = false;
  private stopped = false;

  private constructor(private readonly options: StartupCheckOptions) {}

  static create(options: StartupCheckOptions): StartupCheck {
    return new StartupCheck(options);
  }

  hasPassed(): boolean {
    return this.passed;
  }

  stop(): void {
    this.stopped = true;
  }

  /** Queries peers repeatedly until the check passes or is stopped. */
  async run(): Promise<void> {
    const startedAtMs = performance.now();
    for (let attempt = 0; !this.stopped; attempt += 1) {
      const peerWaitElapsed = performance.now() - startedAtMs >= PEER_WAIT_MS;
      this.passed = await this.queryPeers(attempt, peerWaitElapsed);
      if (this.passed) return;
      await sleep(RETRY_PERIOD_MS);
    }
  }

  private async queryPeers(
    attempt: number,
    peerWaitElapsed: boolean,
  ): Promise<boolean> {
    const {network, exchange, polling} = this.options;
    const known = this.knownPeers();
    const requiredPeers = Math.min(REQUIRED_PEERS, known.length);
    // Each attempt of each instance queries the peers in a different order.
    const rankingKey = `${network.self.instanceId} ${attempt}`;
    const queried = rankByRendezvous(rankingKey, known).slice(0, QUERIED_PEERS);
    const outcomes = await Promise.all(
      queried.map(id => exchange.fetchFrom(id)),
    );
    const ready = outcomes.filter(outcome => outcome === 'ready').length;
    const responded = outcomes.filter(outcome => outcome !== 'no-reply').length;
    const passedByPeers =
      polling.finishedReads > 0 && ready > 0 && ready >= requiredPeers;
    const passedByStore =
      polling.completeReads > 0 &&
      (responded >= requiredPeers || peerWaitElapsed);
    return passedByPeers || passedByStore;
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
