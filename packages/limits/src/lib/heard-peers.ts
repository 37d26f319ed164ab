/**
 * When this instance last heard each peer, and the question to all peers
 * whether any of them heard an instance that seems to have ended.
 */
import type {Membership} from '@fireflytrack/membership';
import type {PeerNetwork} from '@fireflytrack/wire';
import {
  HEARD_KIND,
  heardAnswerSchema,
  heardRequestSchema,
} from './limit-messages.js';

const QUESTION_TIMEOUT_MS = 1000;

export class HeardPeers {
  private readonly lastHeardAtMs = new Map<string, number>();

  private constructor(
    private readonly network: PeerNetwork,
    private readonly membership: Membership,
  ) {
    network.onRequest(HEARD_KIND, (from, payload) => {
      this.note(from.instanceId);
      const question = heardRequestSchema.parse(payload);
      return {heard: this.heard(question.instanceId, question.forMs)};
    });
  }

  static create(network: PeerNetwork, membership: Membership): HeardPeers {
    return new HeardPeers(network, membership);
  }

  note(instanceId: string): void {
    this.lastHeardAtMs.set(instanceId, performance.now());
  }

  /** Whether a sign of `instanceId` came within the last `forMs`. */
  heard(instanceId: string, forMs: number): boolean {
    if (instanceId === this.network.self.instanceId) return true;
    const member = this.membership
      .others()
      .find(other => other.identity.instanceId === instanceId);
    if (member?.reachable) return true;
    const atMs = this.lastHeardAtMs.get(instanceId);
    return atMs !== undefined && performance.now() - atMs < forMs;
  }

  /** False if some reachable peer heard the instance or did not answer. */
  async unheardByAll(instanceId: string, forMs: number): Promise<boolean> {
    if (this.heard(instanceId, forMs)) return false;
    const peers = this.membership.others().filter(peer => peer.reachable);
    const answers = await Promise.all(
      peers.map(peer =>
        this.network.request(
          peer.identity.instanceId,
          HEARD_KIND,
          {instanceId, forMs},
          QUESTION_TIMEOUT_MS,
        ),
      ),
    );
    return answers.every(answer => {
      if (answer.err) return false;
      const parsed = heardAnswerSchema.safeParse(answer.val);
      return parsed.success && !parsed.data.heard;
    });
  }
}
