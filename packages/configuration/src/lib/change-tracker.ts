/**
 * Determines whether a change is in force: every instance that may serve has it.
 *
 * An instance that has not confirmed the change is ruled out in two cases. It has
 * ended if the platform removed it from the list. It is fenced when the freshness
 * limit has passed since the change was stored and every instance in the store's
 * region had it: all freshness evidence originates from the store or those
 * instances, so any evidence newer than that is accompanied by the change.
 */
import type {Membership} from '@fireflytrack/membership';
import type {PeerIdentity, PeerNetwork} from '@fireflytrack/wire';
import type {ReplicaVersions} from './distribution-messages.js';

export type TrackedChange =
  | {kind: 'configuration'; version: number}
  | {kind: 'keys'; version: number}
  /** `stored` is false while only instances have the withdrawal. */
  | {kind: 'withdrawal'; keyId: string; stored: boolean};

export interface ChangeState {
  state: 'pending' | 'in_force';
  /** Instances that have the change. */
  confirmed: string[];
  /** Instances without the change that certainly refuse to serve. */
  fenced: string[];
  /** Instances that may serve without the change. */
  missing: string[];
}

export interface ChangeTrackerOptions {
  network: PeerNetwork;
  membership: Membership;
  peerVersions: ReadonlyMap<string, ReplicaVersions>;
  ownVersions(): ReplicaVersions;
  /** Whether an instance with these versions has the withdrawal. */
  provesWithdrawn(versions: ReplicaVersions, keyId: string): boolean;
  storeRegion: string;
  freshnessLimitMs: number;
  onIsolation: 'refuse' | 'serve';
}

// Allows for drift between the monotonic clocks of two machines.
const FENCE_MARGIN_MS = 100;
// The platform removes only ended instances from the list.
const MIN_UNLISTED_MS = 0;
const MAX_TRACKED_CHANGES = 1000;

export class ChangeTracker {
  /** When all instances in the store's region were first seen to have a change. */
  private readonly regionUpToDateAtMs = new Map<string, number>();

  private constructor(private readonly options: ChangeTrackerOptions) {}

  static create(options: ChangeTrackerOptions): ChangeTracker {
    return new ChangeTracker(options);
  }

  /** Returns the state of a change that is known to have been made. */
  evaluate(change: TrackedChange): ChangeState {
    const confirmed: string[] = [];
    const unconfirmed: PeerIdentity[] = [];
    for (const identity of this.collectInstances()) {
      if (this.hasChange(identity, change)) {
        confirmed.push(identity.instanceId);
      } else {
        unconfirmed.push(identity);
      }
    }
    const allFenced = this.areFenced(change, unconfirmed);
    const unconfirmedIds = unconfirmed
      .map(identity => identity.instanceId)
      .sort();
    return {
      state: allFenced || unconfirmedIds.length === 0 ? 'in_force' : 'pending',
      confirmed: confirmed.sort(),
      fenced: allFenced ? unconfirmedIds : [],
      missing: allFenced ? [] : unconfirmedIds,
    };
  }

  /** All instances that may be running, including this one. */
  private collectInstances(): PeerIdentity[] {
    const {network, membership} = this.options;
    const identities = new Map<string, PeerIdentity>();
    identities.set(network.self.instanceId, network.self);
    for (const peer of network.peers()) identities.set(peer.instanceId, peer);
    for (const {identity} of membership.others()) {
      identities.set(identity.instanceId, identity);
    }
    return [...identities.values()].filter(
      identity => !membership.hasEnded(identity.instanceId, MIN_UNLISTED_MS),
    );
  }

  private hasChange(identity: PeerIdentity, change: TrackedChange): boolean {
    const {network, peerVersions, ownVersions} = this.options;
    const isOwn = identity.instanceId === network.self.instanceId;
    const versions = isOwn
      ? ownVersions()
      : peerVersions.get(identity.instanceId);
    if (!versions) return false;
    switch (change.kind) {
      case 'configuration':
        return versions.configurationVersion >= change.version;
      case 'keys':
        return versions.keySetVersion >= change.version;
      case 'withdrawal':
        return this.options.provesWithdrawn(versions, change.keyId);
    }
  }

  private areFenced(
    change: TrackedChange,
    unconfirmed: PeerIdentity[],
  ): boolean {
    const {storeRegion, freshnessLimitMs, onIsolation} = this.options;
    if (onIsolation === 'serve') return false;
    // Store responses cannot contain a withdrawal that is not stored yet.
    if (change.kind === 'withdrawal' && !change.stored) return false;
    if (unconfirmed.some(identity => identity.region === storeRegion))
      return false;
    const upToDateAtMs = this.recordRegionUpToDate(JSON.stringify(change));
    const elapsedMs = performance.now() - upToDateAtMs;
    return elapsedMs > freshnessLimitMs + FENCE_MARGIN_MS;
  }

  private recordRegionUpToDate(changeKey: string): number {
    const recordedAtMs = this.regionUpToDateAtMs.get(changeKey);
    if (recordedAtMs !== undefined) return recordedAtMs;
    if (this.regionUpToDateAtMs.size >= MAX_TRACKED_CHANGES) {
      // Evicts the oldest change; evaluating it again restarts its wait.
      const [oldest] = this.regionUpToDateAtMs.keys();
      this.regionUpToDateAtMs.delete(oldest!);
    }
    const nowMs = performance.now();
    this.regionUpToDateAtMs.set(changeKey, nowMs);
    return nowMs;
  }
}
