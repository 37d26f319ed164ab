/**
 * Announces the versions of the local replica to all peers every 200 ms, and
 * fetches from peers that have newer ones.
 */
import type {Membership} from '@fireflytrack/membership';
import type {PeerIdentity, PeerNetwork} from '@fireflytrack/wire';
import {
  FETCH_KIND,
  VERSIONS_KIND,
  WITHDRAWN_KIND,
  fetchReplySchema,
  fetchRequestSchema,
  versionsMessageSchema,
  withdrawnMessageSchema,
} from './distribution-messages.js';
import type {
  FetchReply,
  ReplicaVersions,
  VersionsMessage,
} from './distribution-messages.js';
import type {LocalReplica} from './local-replica.js';
import type {VersionEvidence} from './version-evidence.js';

export interface PeerExchangeOptions {
  network: PeerNetwork;
  membership: Membership;
  replica: LocalReplica;
  versionEvidence: VersionEvidence;
  /** Age of the evidence to announce; infinite if there is none. */
  ageMs(): number;
  /** Whether this instance has completed its startup. */
  isReady(): boolean;
}

/** Result of a fetch; fetched data is already merged into the replica. */
export type FetchOutcome = 'ready' | 'not-ready' | 'no-reply';

const ANNOUNCE_PERIOD_MS = 200;
const FETCH_TIMEOUT_MS = 1000;
// Every peer announces its versions periodically, so a few concurrent fetches
// suffice; one per peer would transfer the text of a new version 40 times.
const MAX_CONCURRENT_FETCHES = 4;
// How long the versions of ended instances are kept for status responses.
const ENDED_PEER_RETENTION_MS = 60_000;

export class PeerExchange {
  /** The versions that each peer announced last. */
  readonly peerVersions = new Map<string, ReplicaVersions>();
  private readonly fetching = new Set<string>();
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  private constructor(private readonly options: PeerExchangeOptions) {}

  static create(options: PeerExchangeOptions): PeerExchange {
    return new PeerExchange(options);
  }

  start(): void {
    const {network, replica} = this.options;
    network.onMessage(VERSIONS_KIND, (from, payload) =>
      this.handleVersions(from, payload),
    );
    network.onMessage(WITHDRAWN_KIND, (_, payload) => {
      const message = withdrawnMessageSchema.safeParse(payload);
      if (message.success) replica.addWithdrawals(message.data.keyIds);
    });
    network.onRequest(FETCH_KIND, (_, payload) => this.handleFetch(payload));
    replica.setReplicaListener({
      onReplicaChange: withdrawn => this.broadcastChange(withdrawn),
    });
    this.timer = setInterval(() => {
      this.removeEndedPeers();
      this.announce();
    }, ANNOUNCE_PERIOD_MS);
    this.announce();
  }

  stop(): void {
    this.stopped = true;
    clearInterval(this.timer);
  }

  /** Fetches what this instance lacks from a peer and merges it. */
  async fetchFrom(instanceId: string): Promise<FetchOutcome> {
    if (this.fetching.has(instanceId)) return 'no-reply';
    const {network, replica} = this.options;
    this.fetching.add(instanceId);
    const reply = await network.request(
      instanceId,
      FETCH_KIND,
      replica.currentVersions(),
      FETCH_TIMEOUT_MS,
    );
    this.fetching.delete(instanceId);
    if (reply.err || this.stopped) return 'no-reply';
    const parsed = fetchReplySchema.safeParse(reply.val);
    if (!parsed.success) return 'no-reply';
    const {keySet, configuration, ready} = parsed.data;
    if (keySet) replica.mergeKeySet(keySet);
    if (configuration) replica.installText(configuration);
    return ready ? 'ready' : 'not-ready';
  }

  /** Announces a change immediately instead of at the next period. */
  private broadcastChange(withdrawn: string[]): void {
    if (this.stopped) return;
    if (withdrawn.length > 0) {
      this.options.network.broadcast(WITHDRAWN_KIND, {keyIds: withdrawn});
    }
    this.announce();
  }

  private announce(): void {
    const {network, replica, versionEvidence} = this.options;
    const ageMs = this.options.ageMs();
    for (const {instanceId} of network.peers()) {
      const echoedSentAtMs = versionEvidence.echoTimestampFor(instanceId);
      const message: VersionsMessage = {
        ...replica.currentVersions(),
        sentAtMs: performance.now(),
        ...(echoedSentAtMs !== undefined && {echoedSentAtMs}),
        ...(Number.isFinite(ageMs) && {ageMs}),
        readsFailing: versionEvidence.readsFailing,
      };
      network.send(instanceId, VERSIONS_KIND, message);
    }
  }

  private handleVersions(from: PeerIdentity, payload: unknown): void {
    const message = versionsMessageSchema.safeParse(payload);
    if (!message.success || this.stopped) return;
    const {replica, versionEvidence} = this.options;
    this.peerVersions.set(from.instanceId, message.data);
    versionEvidence.recordMessage(from, message.data);
    if (
      replica.isAtLeast(message.data) ||
      this.fetching.size >= MAX_CONCURRENT_FETCHES
    )
      return;
    void this.fetchFrom(from.instanceId);
  }

  private handleFetch(payload: unknown): FetchReply {
    const requested = fetchRequestSchema.parse(payload);
    const {replica} = this.options;
    const {keySetVersion, withdrawnDigest} = replica.currentVersions();
    const reply: FetchReply = {ready: this.options.isReady()};
    const current = replica.text();
    if (current && current.version > requested.configurationVersion) {
      const {version, hash, previousHash, text} = current;
      reply.configuration = {version, hash, previousHash, text};
    }
    const hasSameKeys =
      keySetVersion <= requested.keySetVersion &&
      withdrawnDigest === requested.withdrawnDigest;
    if (!hasSameKeys) reply.keySet = replica.keySet();
    return reply;
  }

  /** Removes the state of ended instances. */
  private removeEndedPeers(): void {
    const {membership, versionEvidence} = this.options;
    for (const instanceId of this.peerVersions.keys()) {
      if (!membership.hasEnded(instanceId, ENDED_PEER_RETENTION_MS)) continue;
      this.peerVersions.delete(instanceId);
      versionEvidence.removePeer(instanceId);
    }
  }
}
