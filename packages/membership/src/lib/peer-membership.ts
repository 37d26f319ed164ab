/**
 * Members from the platform's list and from peers that proved the fleet
 * secret, with liveness in each direction by heartbeats that echo each other.
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
  /** The in-memory network of tests connects all instances by itself. */
  network: PeerNetwork & Partial<PeerDialer>;
  list: InstanceList;
  /** Region in which the table service runs. */
  storeRegion: string;
  logger: Logger;
}

interface KnownPeer {
  identity: PeerIdentity;
  lastHeardAtMs: number;
  /** Newest sequence received, echoed in the next heartbeat. */
  lastSequence: number;
  /** When the newest own heartbeat that the peer confirmed was sent. */
  confirmedAtMs: number;
  leaving: boolean;
}

const LIST_PERIOD_MS = 2000;
const UNREACHABLE_AFTER_MS = 2000;
/** A peer that is unlisted, silent and disconnected is dropped after this time. */
const FORGET_AFTER_MS = 30_000;

export class PeerMembership implements Membership, FreshnessEvidence {
  readonly self: PeerIdentity;
  private readonly listed = new ListedInstances();
  private readonly heard = new Map<string, KnownPeer>();
  private readonly sent = new SentHeartbeats();
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

  /** Reads the list once and starts the periodic work. */
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
    for (const {identity} of this.heard.values()) {
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
    const live = this.others().filter(one => one.reachable && !one.leaving);
    return [this.self.instanceId, ...live.map(one => one.identity.instanceId)];
  }

  isGone(instanceId: string, forMs: number): boolean {
    const lastHeardAtMs = this.heard.get(instanceId)?.lastHeardAtMs ?? 0;
    const absentForMs = this.listed.absentForMs(instanceId, lastHeardAtMs);
    return absentForMs > 0 && absentForMs >= forMs;
  }

  /**
   * `startedAtMs` is when the read was sent, on the monotonic clock; the read
   * proves nothing about the time after that.
   */
  recordRead(succeeded: boolean, startedAtMs = performance.now()): void {
    this.freshness.recordRead(succeeded, startedAtMs);
  }

  ageMs(): number {
    return this.freshness.ageMs();
  }

  /** Members and evidence for the state dump. */
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
    const peer = this.heard.get(instanceId);
    const sinceMs = performance.now() - UNREACHABLE_AFTER_MS;
    return {
      identity,
      listed: listed !== undefined,
      reachable:
        peer !== undefined &&
        peer.lastHeardAtMs >= sinceMs &&
        peer.confirmedAtMs >= sinceMs,
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
    const known = this.heard.get(from.instanceId);
    const echoedAtMs = this.sent.timeOf(echo);
    this.heard.set(from.instanceId, {
      identity: from,
      lastHeardAtMs: performance.now(),
      lastSequence: Math.max(sequence, known?.lastSequence ?? 0),
      confirmedAtMs: Math.max(
        echoedAtMs ?? -Infinity,
        known?.confirmedAtMs ?? -Infinity,
      ),
      leaving: leaving || known?.leaving === true,
    });
    if (echoedAtMs === undefined) return;
    const {freshnessAgeMs, failedReadAgeMs} = heartbeat.data;
    this.freshness.recordPeer(
      from,
      echoedAtMs,
      freshnessAgeMs,
      failedReadAgeMs,
    );
  }

  private sendHeartbeats(): void {
    this.forgetPeers();
    const sequence = this.sent.next();
    const ageMs = this.ageMs();
    const common = {
      sequence,
      leaving: this.leaving,
      freshnessAgeMs: Number.isFinite(ageMs) ? ageMs : undefined,
      failedReadAgeMs: this.freshness.failedReadAgeMs(),
    };
    for (const {instanceId} of this.options.network.peers()) {
      const echo = this.heard.get(instanceId)?.lastSequence;
      this.options.network.send(instanceId, HEARTBEAT_KIND, {...common, echo});
    }
  }

  private forgetPeers(): void {
    const {network} = this.options;
    const connected = new Set(network.peers().map(peer => peer.instanceId));
    const beforeMs = performance.now() - FORGET_AFTER_MS;
    for (const [instanceId, peer] of this.heard) {
      if (peer.lastHeardAtMs >= beforeMs) continue;
      if (this.listed.get(instanceId) || connected.has(instanceId)) continue;
      this.heard.delete(instanceId);
      this.freshness.forget(instanceId);
      network.disconnect?.(instanceId);
    }
  }

  private async readList(): Promise<void> {
    if (this.readingList) return;
    this.readingList = true;
    const startedAtMs = performance.now();
    const before = this.listed.all();
    const instances = await this.options.list.list();
    this.readingList = false;
    if (this.stopped) return;
    if (instances.err) {
      const {message} = instances.val;
      this.options.logger.warn('instance list not read', {message});
      return;
    }
    this.listed.update(instances.val, startedAtMs);
    this.dial(before);
  }

  private dial(before: readonly ListedInstance[]): void {
    const {network} = this.options;
    for (const {instanceId, host, peerPort} of this.listed.all()) {
      if (instanceId === this.self.instanceId) continue;
      network.connectTo?.({instanceId, host, port: peerPort});
    }
    for (const {instanceId} of before) {
      const absent = !this.listed.get(instanceId);
      if (absent && !this.heard.has(instanceId)) {
        network.disconnect?.(instanceId);
      }
    }
  }

  private isOnlyListedIn(region: string): boolean {
    if (!this.listed.isKnown()) return false;
    const {instanceId} = this.self;
    return this.listed
      .all()
      .every(one => one.region !== region || one.instanceId === instanceId);
  }
}

function toPeerIdentity(instance: ListedInstance): PeerIdentity {
  const {instanceId, availabilityZone, region} = instance;
  return {instanceId, availabilityZone, region};
}
