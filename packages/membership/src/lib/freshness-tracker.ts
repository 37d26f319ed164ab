/**
 * Tracks how recently the store's state was known, using only this instance's
 * clock.
 *
 * A peer's frame that echoes a heartbeat sent here at time t was sent after t,
 * so what the peer reports as at most `age` old was true at t - age or later.
 */
import type {PeerIdentity} from '@fireflytrack/wire';

interface FailedReadReport {
  region: string;
  atMs: number;
}

export interface FreshnessTrackerOptions {
  self: PeerIdentity;
  /** Region in which the store runs. */
  storeRegion: string;
  /** Whether the list was read and shows no other instance in `region`. */
  isOnlyListedIn(region: string): boolean;
}

export class FreshnessTracker {
  /** Latest time at which the store's state was known; -Infinity: never. */
  private evidenceAtMs = -Infinity;
  private failedReadAtMs: number | undefined;
  private readonly reports = new Map<string, FailedReadReport>();

  private constructor(private readonly options: FreshnessTrackerOptions) {}

  static create(options: FreshnessTrackerOptions): FreshnessTracker {
    return new FreshnessTracker(options);
  }

  recordRead(succeeded: boolean, startedAtMs: number): void {
    this.failedReadAtMs = succeeded ? undefined : startedAtMs;
    if (succeeded) this.raise(startedAtMs);
  }

  /** Records a peer's report that echoes a heartbeat sent at `echoedAtMs`. */
  recordPeer(
    peer: PeerIdentity,
    echoedAtMs: number,
    freshnessAgeMs: number | undefined,
    failedReadAgeMs: number | undefined,
  ): void {
    if (freshnessAgeMs !== undefined) this.raise(echoedAtMs - freshnessAgeMs);
    if (failedReadAgeMs === undefined) {
      this.reports.delete(peer.instanceId);
      return;
    }
    const atMs = echoedAtMs - failedReadAgeMs;
    this.reports.set(peer.instanceId, {region: peer.region, atMs});
  }

  forget(instanceId: string): void {
    this.reports.delete(instanceId);
  }

  ageMs(): number {
    this.raise(this.outageWitnessedAtMs());
    return performance.now() - this.evidenceAtMs;
  }

  failedReadAgeMs(): number | undefined {
    if (this.failedReadAtMs === undefined) return undefined;
    return performance.now() - this.failedReadAtMs;
  }

  /**
   * When this instance and a witness of the store's region both saw the store
   * fail. One instance alone may only have lost its own path to the store.
   */
  private outageWitnessedAtMs(): number {
    const {self, storeRegion, isOnlyListedIn} = this.options;
    if (self.region !== storeRegion) return -Infinity;
    const ownAtMs = this.failedReadAtMs;
    if (ownAtMs === undefined) return -Infinity;
    if (isOnlyListedIn(storeRegion)) return ownAtMs;
    const witnesses = [...this.reports.values()].filter(
      report => report.region === storeRegion,
    );
    const latest = Math.max(-Infinity, ...witnesses.map(one => one.atMs));
    return Math.min(ownAtMs, latest);
  }

  private raise(atMs: number): void {
    this.evidenceAtMs = Math.max(this.evidenceAtMs, atMs);
  }
}
