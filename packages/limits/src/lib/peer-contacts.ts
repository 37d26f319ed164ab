/**
 * Tracks when this instance last received a message from each peer, and queries
 * all peers for recent contact with an instance that seems to have ended.
 */
import type {Membership} from '@fireflytrack/membership';
import type {PeerNetwork} from '@fireflytrack/wire';
import {
  CONTACT_QUERY_KIND,
  contactResponseSchema,
  contactRequestSchema,
} from './limit-messages.js';

const CONTACT_QUERY_TIMEOUT_MS = 1000;

export class PeerContacts {
  private readonly lastContactAtMs = new Map<string, number>();

  private constructor(
    private readonly network: PeerNetwork,
    private readonly membership: Membership,
  ) {
    network.onRequest(CONTACT_QUERY_KIND, (from, payload) => {
      this.recordContact(from.instanceId);
      const query = contactRequestSchema.parse(payload);
      return {
        heard: this.hadRecentContact(query.instanceId, query.forMs),
      };
    });
  }

  static create(network: PeerNetwork, membership: Membership): PeerContacts {
    return new PeerContacts(network, membership);
  }

  recordContact(instanceId: string): void {
    this.lastContactAtMs.set(instanceId, performance.now());
  }

  /**
   * Whether `instanceId` is reachable or sent a message within the last
   * `forMs`.
   */
  hadRecentContact(instanceId: string, forMs: number): boolean {
    if (instanceId === this.network.self.instanceId) return true;
    const member = this.membership
      .others()
      .find(other => other.identity.instanceId === instanceId);
    if (member?.reachable) return true;
    const atMs = this.lastContactAtMs.get(instanceId);
    return atMs !== undefined && performance.now() - atMs < forMs;
  }

  /**
   * Whether neither this instance nor any reachable peer had contact with
   * `instanceId` within the last `forMs`. False if a reachable peer does not
   * respond.
   */
  async hasNoRecentContact(
    instanceId: string,
    forMs: number,
  ): Promise<boolean> {
    if (this.hadRecentContact(instanceId, forMs)) return false;
    const peers = this.membership.others().filter(peer => peer.reachable);
    const responses = await Promise.all(
      peers.map(peer =>
        this.network.request(
          peer.identity.instanceId,
          CONTACT_QUERY_KIND,
          {instanceId, forMs},
          CONTACT_QUERY_TIMEOUT_MS,
        ),
      ),
    );
    return responses.every(response => {
      if (response.err) return false;
      const parsed = contactResponseSchema.safeParse(response.val);
      return parsed.success && !parsed.data.heard;
    });
  }
}
