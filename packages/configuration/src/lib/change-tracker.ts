/**
 * Whether a change is in force: every instance that may serve has it.
 *
 * An instance that did not confirm may still be ruled out. It certainly ended
 * when the platform took it off the list. It is fenced once the freshness limit
 * has passed since the change was stored and every instance in the store's
 * region held it: all evidence of freshness comes from the store or from those
 * instances, so evidence that is younger than that comes with the change.
 */
import type {Membership} from '@fireflytrack/membership';
import type {PeerIdentity, PeerNetwork} from '@fireflytrack/wire';
import type {Holdings} from './distribution-messages.js';

export type Requirement =
  | {kind: 'configuration'; version: number}
  | {kind: 'keys'; version: number}
  /** `stored` is false while only instances hold the withdrawal. */
  | {kind: 'withdrawal'; keyId: string; stored: boolean};

export interface ChangeState {
  state: 'pending' | 'in_force';
  /** Instances that have the change. */
  confirmed: string[];
  /** Instances that lack the change and certainly refuse to serve. */
  fenced: string[];
  /** Instances that may serve without the change. */
  missing: string[];
}

export interface ChangeTrackerOptions {
  network: PeerNetwork;
  membership: Membership;
  peerHoldings: ReadonlyMap<string, Holdings>;
  ownHoldings(): Holdings;
  /** Whether an instance with these holdings has the withdrawal. */
  provesWithdrawn(holdings: Holdings, keyId: string): boolean;
  storeRegion: string;
  freshnessLimitMs: number;
  onIsolation: 'refuse' | 'serve';
}

// Covers the different rates of two machines' monotonic clocks.
const FENCE_MARGIN_MS = 100;
// The platform takes only ended instances off the list.
const GONE_FOR_MS = 0;
const MAX_TRACKED = 1000;

export class ChangeTracker {
  /** When the store's region was first seen to hold a stored change. */
  private readonly regionHeldAtMs = new Map<string, number>();

  private constructor(private readonly options: ChangeTrackerOptions) {}

  static create(options: ChangeTrackerOptions): ChangeTracker {
    return new ChangeTracker(options);
  }

  /** The state of a change that the caller knows to be made. */
  evaluate(requirement: Requirement): ChangeState {
    const confirmed: string[] = [];
    const lacking: PeerIdentity[] = [];
    for (const identity of this.instances()) {
      if (this.confirms(identity, requirement)) {
        confirmed.push(identity.instanceId);
      } else {
        lacking.push(identity);
      }
    }
    const allFenced = this.lackingAreFenced(requirement, lacking);
    const ids = lacking.map(identity => identity.instanceId).sort();
    return {
      state: allFenced || ids.length === 0 ? 'in_force' : 'pending',
      confirmed: confirmed.sort(),
      fenced: allFenced ? ids : [],
      missing: allFenced ? [] : ids,
    };
  }

  /** Every instance that may be running, this one too. */
  private instances(): PeerIdentity[] {
    const {network, membership} = this.options;
    const found = new Map<string, PeerIdentity>();
    found.set(network.self.instanceId, network.self);
    for (const peer of network.peers()) found.set(peer.instanceId, peer);
    for (const {identity} of membership.others()) {
      found.set(identity.instanceId, identity);
    }
    return [...found.values()].filter(
      identity => !membership.isGone(identity.instanceId, GONE_FOR_MS),
    );
  }

  private confirms(identity: PeerIdentity, requirement: Requirement): boolean {
    const {network, peerHoldings, ownHoldings} = this.options;
    const own = identity.instanceId === network.self.instanceId;
    const holdings = own
      ? ownHoldings()
      : peerHoldings.get(identity.instanceId);
    if (!holdings) return false;
    switch (requirement.kind) {
      case 'configuration':
        return holdings.configurationVersion >= requirement.version;
      case 'keys':
        return holdings.keySetVersion >= requirement.version;
      case 'withdrawal':
        return this.options.provesWithdrawn(holdings, requirement.keyId);
    }
  }

  private lackingAreFenced(
    requirement: Requirement,
    lacking: PeerIdentity[],
  ): boolean {
    const {storeRegion, freshnessLimitMs, onIsolation} = this.options;
    if (onIsolation === 'serve') return false;
    // The store's answers do not carry a withdrawal that it does not hold.
    if (requirement.kind === 'withdrawal' && !requirement.stored) return false;
    if (lacking.some(identity => identity.region === storeRegion)) return false;
    const heldAtMs = this.noteRegionHeld(JSON.stringify(requirement));
    const elapsedMs = performance.now() - heldAtMs;
    return elapsedMs > freshnessLimitMs + FENCE_MARGIN_MS;
  }

  private noteRegionHeld(requirementId: string): number {
    const known = this.regionHeldAtMs.get(requirementId);
    if (known !== undefined) return known;
    if (this.regionHeldAtMs.size >= MAX_TRACKED) {
      // The oldest is dropped; asking for it again only waits once more.
      const [oldest] = this.regionHeldAtMs.keys();
      this.regionHeldAtMs.delete(oldest!);
    }
    const nowMs = performance.now();
    this.regionHeldAtMs.set(requirementId, nowMs);
    return nowMs;
  }
}
