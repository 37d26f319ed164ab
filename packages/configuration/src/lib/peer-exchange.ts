/**
 * Tells all peers every 200 ms what this instance holds, and fetches from any
 * peer that holds more.
 */
import type {Membership} from '@fireflytrack/membership';
import type {PeerIdentity, PeerNetwork} from '@fireflytrack/wire';
import {
  FETCH_KIND,
  VERSIONS_KIND,
  WITHDRAWN_KIND,
  fetchAnswerSchema,
  fetchRequestSchema,
  versionsMessageSchema,
  withdrawnMessageSchema,
} from './distribution-messages.js';
import type {
  FetchAnswer,
  Holdings,
  VersionsMessage,
} from './distribution-messages.js';
import type {HeldState} from './held-state.js';
import type {VersionEvidence} from './version-evidence.js';

export interface PeerExchangeOptions {
  network: PeerNetwork;
  membership: Membership;
  held: HeldState;
  versionEvidence: VersionEvidence;
  /** Age of the evidence to pass on; infinite without any. */
  ageMs(): number;
  /** Whether this instance completed its start. */
  isReady(): boolean;
}

/** What a fetch tells about the peer; what it carried is taken already. */
export type FetchOutcome = 'ready' | 'not-ready' | 'no-answer';

const ANNOUNCE_PERIOD_MS = 200;
const FETCH_TIMEOUT_MS = 1000;
// Every peer repeats its versions, so a few fetches at once are enough; one
// per peer would send the text of a new version through the network 40 times.
const MAX_FETCHES = 4;
// Ended instances stay known for a while, so that status answers can name them.
const GONE_FOR_MS = 60_000;

export class PeerExchange {
  /** What each peer said last that it holds. */
  readonly peerHoldings = new Map<string, Holdings>();
  private readonly fetching = new Set<string>();
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  private constructor(private readonly options: PeerExchangeOptions) {}

  static create(options: PeerExchangeOptions): PeerExchange {
    return new PeerExchange(options);
  }

  start(): void {
    const {network, held} = this.options;
    network.onMessage(VERSIONS_KIND, (from, payload) =>
      this.hearVersions(from, payload),
    );
    network.onMessage(WITHDRAWN_KIND, (_, payload) => {
      const message = withdrawnMessageSchema.safeParse(payload);
      if (message.success) held.withdraw(message.data.keyIds);
    });
    network.onRequest(FETCH_KIND, (_, payload) => this.answerFetch(payload));
    held.setNewsListener({onNews: withdrawn => this.spread(withdrawn)});
    this.timer = setInterval(() => {
      this.forgetEnded();
      this.announce();
    }, ANNOUNCE_PERIOD_MS);
    this.announce();
  }

  stop(): void {
    this.stopped = true;
    clearInterval(this.timer);
  }

  /** Fetches what the peer has and this instance lacks. */
  async fetchFrom(instanceId: string): Promise<FetchOutcome> {
    if (this.fetching.has(instanceId)) return 'no-answer';
    const {network, held} = this.options;
    this.fetching.add(instanceId);
    const answer = await network.request(
      instanceId,
      FETCH_KIND,
      held.holdings(),
      FETCH_TIMEOUT_MS,
    );
    this.fetching.delete(instanceId);
    if (answer.err || this.stopped) return 'no-answer';
    const parsed = fetchAnswerSchema.safeParse(answer.val);
    if (!parsed.success) return 'no-answer';
    const {keySet, configuration, ready} = parsed.data;
    if (keySet) held.takeKeySet(keySet);
    if (configuration) held.takeText(configuration);
    return ready ? 'ready' : 'not-ready';
  }

  /** Does not wait for the period: withdrawals go out at once. */
  private spread(withdrawn: string[]): void {
    if (this.stopped) return;
    if (withdrawn.length > 0) {
      this.options.network.broadcast(WITHDRAWN_KIND, {keyIds: withdrawn});
    }
    this.announce();
  }

  private announce(): void {
    const {network, held, versionEvidence} = this.options;
    const ageMs = this.options.ageMs();
    for (const {instanceId} of network.peers()) {
      const echoedSentAtMs = versionEvidence.echoFor(instanceId);
      const message: VersionsMessage = {
        ...held.holdings(),
        sentAtMs: performance.now(),
        ...(echoedSentAtMs !== undefined && {echoedSentAtMs}),
        ...(Number.isFinite(ageMs) && {ageMs}),
        readsFailing: versionEvidence.readsFailing,
      };
      network.send(instanceId, VERSIONS_KIND, message);
    }
  }

  private hearVersions(from: PeerIdentity, payload: unknown): void {
    const message = versionsMessageSchema.safeParse(payload);
    if (!message.success || this.stopped) return;
    const {held, versionEvidence} = this.options;
    this.peerHoldings.set(from.instanceId, message.data);
    versionEvidence.recordMessage(from, message.data);
    if (held.holds(message.data) || this.fetching.size >= MAX_FETCHES) return;
    void this.fetchFrom(from.instanceId);
  }

  private answerFetch(payload: unknown): FetchAnswer {
    const asked = fetchRequestSchema.parse(payload);
    const {held} = this.options;
    const {keySetVersion, withdrawnDigest} = held.holdings();
    const answer: FetchAnswer = {ready: this.options.isReady()};
    const current = held.text();
    if (current && current.version > asked.configurationVersion) {
      const {version, hash, previousHash, text} = current;
      answer.configuration = {version, hash, previousHash, text};
    }
    const sameKeys =
      keySetVersion <= asked.keySetVersion &&
      withdrawnDigest === asked.withdrawnDigest;
    if (!sameKeys) answer.keySet = held.keySet();
    return answer;
  }

  /** Drops what is known of instances that ended. */
  private forgetEnded(): void {
    const {membership, versionEvidence} = this.options;
    for (const instanceId of this.peerHoldings.keys()) {
      if (!membership.isGone(instanceId, GONE_FOR_MS)) continue;
      this.peerHoldings.delete(instanceId);
      versionEvidence.forget(instanceId);
    }
  }
}
