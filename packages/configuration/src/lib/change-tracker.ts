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
  /** When all instances in the store's region were first seen with a change. */
  private readonly regionUpToDateAtMs = new Map<string, number>();

  private constructor(private readonly options: ChangeTrackerOptions) {}

  static create(options: ChangeTrackerOptions): ChangeTracker {
    return new ChangeTracker(options);
  }

  /** Evaluates a change that the caller knows to have been made. */
  evaluate(requirement: TrackedChange): ChangeState {
    const confirmed: string[] = [];
    const lacking: PeerIdentity[] = [];
    for (const identity of this.instances()) {
      if (this.hasChange(identity, requirement)) {
        confirmed.push(identity.instanceId);
      } else {
        lacking.push(identity);
      }
    }
    const allFenced = this.areFenced(requirement, lacking);
    const ids = lacking.map(identity => identity.instanceId).sort();
    return {
      state: allFenced || ids.length === 0 ? 'in_force' : 'pending',
      confirmed: confirmed.sort(),
      fenced: allFenced ? ids : [],
      missing: allFenced ? [] : ids,
    };
  }

  /** All instances that may be running, including this one. */
  private instances(): PeerIdentity[] {
    const {network, membership} = this.options;
    const found = new Map<string, PeerIdentity>();
    found.set(network.self.instanceId, network.self);
    for (const peer of network.peers()) found.set(peer.instanceId, peer);
    for (const {identity} of membership.others()) {
      found.set(identity.instanceId, identity);
    }
    return [...found.values()].filter(
      identity => !membership.hasEnded(identity.instanceId, MIN_UNLISTED_MS),
    );
  }

  private hasChange(
    identity: PeerIdentity,
    requirement: TrackedChange,
  ): boolean {
    const {
      network,
      peerVersions: peerVersions,
      ownVersions: ownVersions,
    } = this.options;
    const own = identity.instanceId === network.self.instanceId;
    const versions = own
      ? ownVersions()
      : peerVersions.get(identity.instanceId);
    if (!versions) return false;
    switch (requirement.kind) {
      case 'configuration':
        return versions.configurationVersion >= requirement.version;
      case 'keys':
        return versions.keySetVersion >= requirement.version;
      case 'withdrawal':
        return this.options.provesWithdrawn(versions, requirement.keyId);
    }
  }

  private areFenced(
    requirement: TrackedChange,
    lacking: PeerIdentity[],
  ): boolean {
    const {storeRegion, freshnessLimitMs, onIsolation} = this.options;
    if (onIsolation === 'serve') return false;
    // Store responses cannot contain a withdrawal that is not stored yet.
    if (requirement.kind === 'withdrawal' && !requirement.stored) return false;
    if (lacking.some(identity => identity.region === storeRegion)) return false;
    const heldAtMs = this.recordRegionUpToDate(JSON.stringify(requirement));
    const elapsedMs = performance.now() - heldAtMs;
    return elapsedMs > freshnessLimitMs + FENCE_MARGIN_MS;
  }

  private recordRegionUpToDate(requirementId: string): number {
    const known = this.regionUpToDateAtMs.get(requirementId);
    if (known !== undefined) return known;
    if (this.regionUpToDateAtMs.size >= MAX_TRACKED_CHANGES) {
      // The oldest is evicted; querying it again only restarts its wait.
      const [oldest] = this.regionUpToDateAtMs.keys();
      this.regionUpToDateAtMs.delete(oldest!);
    }
    const nowMs = performance.now();
    this.regionUpToDateAtMs.set(requirementId, nowMs);
    return nowMs;
  }
}
