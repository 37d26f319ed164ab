/**
 * Membership from the platform's list and from peers that proved to know the
 * fleet secret. Heartbeats that echo each other show whether two instances can
 * reach each other in both directions.
 */
import type {InstanceList, ListedInstance} from '@fireflytrack/platform';
import type {Logger} from '@fireflytrack/telemetry';
import type {PeerDialer, PeerIdentity, PeerNetwork} from '@fireflytrack/wire';
import {FreshnessTracker} from './freshness-tracker.js';
import {
  HEARTBEAT_KIND,
  HEARTBEAT_PERIOD_MS,
  SentHeartbeats,
  heartbeatSchema,
} from './heartbeat.js';
import {ListedInstances} from './listed-instances.js';
import type {FreshnessEvidence, Member, Membership} from './membership.js';

export interface PeerMembershipOptions {
  /**
   * Without the dialer, as in tests, the network connects all instances itself.
   */
  network: PeerNetwork & Partial<PeerDialer>;
  list: InstanceList;
  /** Region in which the table service runs. */
  storeRegion: string;
  logger: Logger;
}

interface KnownPeer {
  identity: PeerIdentity;
  lastReceivedAtMs: number;
  /** Highest sequence received; echoed in the next heartbeat. */
  lastSequence: number;
  /** Send time of this instance's newest heartbeat that the peer confirmed. */
  confirmedAtMs: number;
  leaving: boolean;
}

const LIST_PERIOD_MS = 2000;
const UNREACHABLE_AFTER_MS = 2000;
/** Silent peers that are unlisted and disconnected are removed after this time. */
const PEER_RETENTION_MS = 30_000;

export class PeerMembership implements Membership, FreshnessEvidence {
  readonly self: PeerIdentity;
  private readonly listed = new ListedInstances();
  private readonly knownPeers = new Map<string, KnownPeer>();
  private readonly sentHeartbeats = new SentHeartbeats();
  private readonly freshness: FreshnessTracker;
  private heartbeatTimer: NodeJS.Timeout | undefined;
  private listTimer: NodeJS.Timeout | undefined;
  private readingList = false;
  private leaving = false;
  private stopped = false;

  private constructor(private readonly options: PeerMembershipOptions) {
    const {network, storeRegion} = options;
    this.self = network.self;
    this.freshness = FreshnessTracker.create({
      self: network.self,
      storeRegion,
      isOnlyListedIn: region => this.isOnlyListedIn(region),
    });
    network.onMessage(HEARTBEAT_KIND, (from, payload) => {
      this.receive(from, payload);
    });
  }

  static create(options: PeerMembershipOptions): PeerMembership {
    return new PeerMembership(options);
  }

  /**
   * Starts the periodic heartbeats and list reads, and awaits the first read.
   */
  async start(): Promise<void> {
    this.heartbeatTimer = setInterval(
      () => this.sendHeartbeats(),
      HEARTBEAT_PERIOD_MS,
    );
    this.listTimer = setInterval(() => void this.readList(), LIST_PERIOD_MS);
    this.sendHeartbeats();
    await this.readList();
  }

  async stop(): Promise<void> {
    this.stopped = true;
    clearInterval(this.heartbeatTimer);
    clearInterval(this.listTimer);
  }

  /** Notifies all peers immediately that this instance is about to stop. */
  announceLeaving(): void {
    this.leaving = true;
    this.sendHeartbeats();
  }

  others(): readonly Member[] {
    const identities = new Map<string, PeerIdentity>();
    for (const {identity} of this.knownPeers.values()) {
      identities.set(identity.instanceId, identity);
    }
    for (const instance of this.listed.all()) {
      if (instance.instanceId === this.self.instanceId) continue;
      identities.set(instance.instanceId, toPeerIdentity(instance));
    }
    return [...identities.values()].map(identity =>
      this.describeMember(identity),
    );
  }

  liveIds(): readonly string[] {
    const live = this.others().filter(
      member => member.reachable && !member.leaving,
    );
    return [
      this.self.instanceId,
      ...live.map(member => member.identity.instanceId),
    ];
  }

  hasEnded(instanceId: string, forMs: number): boolean {
    const lastReceivedAtMs =
      this.knownPeers.get(instanceId)?.lastReceivedAtMs ?? 0;
    const absentForMs = this.listed.absentForMs(instanceId, lastReceivedAtMs);
    return absentForMs > 0 && absentForMs >= forMs;
  }

  /**
   * `startedAtMs` is the monotonic time at which the read was sent; the read
   * shows nothing about the time after that.
   */
  recordRead(succeeded: boolean, startedAtMs = performance.now()): void {
    this.freshness.recordRead(succeeded, startedAtMs);
  }

  ageMs(): number {
    return this.freshness.ageMs();
  }

  /** Members and freshness, for the state dump. */
  state(): unknown {
    const members = this.others().map(({identity, ...flags}) => ({
      instanceId: identity.instanceId,
      ...flags,
    }));
    return {members, freshnessAgeMs: this.ageMs(), leaving: this.leaving};
  }

  private describeMember(identity: PeerIdentity): Member {
    const {instanceId} = identity;
    const listed = this.listed.get(instanceId);
    const peer = this.knownPeers.get(instanceId);
    const oldestMs = performance.now() - UNREACHABLE_AFTER_MS;
    return {
      identity,
      listed: listed !== undefined,
      reachable:
        peer !== undefined &&
        peer.lastReceivedAtMs >= oldestMs &&
        peer.confirmedAtMs >= oldestMs,
      leaving: peer?.leaving === true || listed?.state === 'leaving',
    };
  }

  private receive(from: PeerIdentity, payload: unknown): void {
    if (this.stopped) return;
    const heartbeat = heartbeatSchema.safeParse(payload);
    if (!heartbeat.success) {
      const fields = {peer: from.instanceId};
      this.options.logger.warn('malformed heartbeat dropped', fields);
      return;
    }
    const {sequence, echo, leaving} = heartbeat.data;
    const previous = this.knownPeers.get(from.instanceId);
    const echoedAtMs = this.sentHeartbeats.findSentAtMs(echo);
    this.knownPeers.set(from.instanceId, {
      identity: from,
      lastReceivedAtMs: performance.now(),
      lastSequence: Math.max(sequence, previous?.lastSequence ?? 0),
      confirmedAtMs: Math.max(
        echoedAtMs ?? -Infinity,
        previous?.confirmedAtMs ?? -Infinity,
      ),
      leaving: leaving || previous?.leaving === true,
    });
    if (echoedAtMs === undefined) return;
    const {freshnessAgeMs, failedReadAgeMs} = heartbeat.data;
    this.freshness.recordPeerReport(
      from,
      echoedAtMs,
      freshnessAgeMs,
      failedReadAgeMs,
    );
  }

  private sendHeartbeats(): void {
    this.removeStalePeers();
    const sequence = this.sentHeartbeats.startNext();
    const ageMs = this.ageMs();
    const common = {
      sequence,
      leaving: this.leaving,
      freshnessAgeMs: Number.isFinite(ageMs) ? ageMs : undefined,
      failedReadAgeMs: this.freshness.failedReadAgeMs(),
    };
    for (const {instanceId} of this.options.network.peers()) {
      const echo = this.knownPeers.get(instanceId)?.lastSequence;
      this.options.network.send(instanceId, HEARTBEAT_KIND, {...common, echo});
    }
  }

  private removeStalePeers(): void {
    const {network} = this.options;
    const connected = new Set(network.peers().map(peer => peer.instanceId));
    const oldestMs = performance.now() - PEER_RETENTION_MS;
    for (const [instanceId, peer] of this.knownPeers) {
      if (peer.lastReceivedAtMs >= oldestMs) continue;
      if (this.listed.get(instanceId) || connected.has(instanceId)) continue;
      this.knownPeers.delete(instanceId);
      this.freshness.removePeer(instanceId);
      network.disconnect?.(instanceId);
    }
  }

  private async readList(): Promise<void> {
    if (this.readingList) return;
    this.readingList = true;
    const startedAtMs = performance.now();
    const previous = this.listed.all();
    const instances = await this.options.list.list();
    this.readingList = false;
    if (this.stopped) return;
    if (instances.err) {
      const {message} = instances.val;
      this.options.logger.warn('instance list not read', {message});
      return;
    }
    this.listed.update(instances.val, startedAtMs);
    this.updateConnections(previous);
  }

  private updateConnections(previous: readonly ListedInstance[]): void {
    const {network} = this.options;
    for (const {instanceId, host, peerPort} of this.listed.all()) {
      if (instanceId === this.self.instanceId) continue;
      network.connectTo?.({instanceId, host, port: peerPort});
    }
    for (const {instanceId} of previous) {
      const removed = !this.listed.get(instanceId);
      if (removed && !this.knownPeers.has(instanceId)) {
        network.disconnect?.(instanceId);
      }
    }
  }

  private isOnlyListedIn(region: string): boolean {
    if (!this.listed.hasBeenRead()) return false;
    const {instanceId} = this.self;
    return this.listed
      .all()
      .every(
        instance =>
          instance.region !== region || instance.instanceId === instanceId,
      );
  }
}

function toPeerIdentity(instance: ListedInstance): PeerIdentity {
  const {instanceId, availabilityZone, region} = instance;
  return {instanceId, availabilityZone, region};
}
