/**
 * Tracks how recently this instance knew the state of the store, using only
 * its own clock.
 *
 * A peer's frame that echoes a heartbeat sent by this instance at time t was
 * sent after t. Evidence that the frame reports as at most `age` old was
 * therefore true at t - age or later.
 */
import type {PeerIdentity} from '@fireflytrack/wire';

/** A peer's report that its last read of the store failed. */
interface FailedReadReport {
  region: string;
  atMs: number;
}

export interface FreshnessTrackerOptions {
  self: PeerIdentity;
  /** Region in which the store runs. */
  storeRegion: string;
  /** Whether the list was read and contains no other instance in `region`. */
  isOnlyListedIn(region: string): boolean;
}

export class FreshnessTracker {
  /**
   * Latest time at which the state of the store was known; -Infinity if never.
   */
  private evidenceAtMs = -Infinity;
  private failedReadAtMs: number | undefined;
  private readonly failedReadReports = new Map<string, FailedReadReport>();

  private constructor(private readonly options: FreshnessTrackerOptions) {}

  static create(options: FreshnessTrackerOptions): FreshnessTracker {
    return new FreshnessTracker(options);
  }

  recordRead(succeeded: boolean, startedAtMs: number): void {
    this.failedReadAtMs = succeeded ? undefined : startedAtMs;
    if (succeeded) this.advanceEvidence(startedAtMs);
  }

  /** Records a peer's report that echoes a heartbeat sent at `echoedAtMs`. */
  recordPeerReport(
    peer: PeerIdentity,
    echoedAtMs: number,
    freshnessAgeMs: number | undefined,
    failedReadAgeMs: number | undefined,
  ): void {
    if (freshnessAgeMs !== undefined)
      this.advanceEvidence(echoedAtMs - freshnessAgeMs);
    if (failedReadAgeMs === undefined) {
      this.failedReadReports.delete(peer.instanceId);
      return;
    }
    const atMs = echoedAtMs - failedReadAgeMs;
    this.failedReadReports.set(peer.instanceId, {region: peer.region, atMs});
  }

  removePeer(instanceId: string): void {
    this.failedReadReports.delete(instanceId);
  }

  ageMs(): number {
    this.advanceEvidence(this.confirmedOutageAtMs());
    return performance.now() - this.evidenceAtMs;
  }

  failedReadAgeMs(): number | undefined {
    if (this.failedReadAtMs === undefined) return undefined;
    return performance.now() - this.failedReadAtMs;
  }

  /**
   * Latest time at which this instance and a peer in the store's region had
   * both failed to read the store; -Infinity if never. A single instance may
   * only have lost its own path to the store.
   */
  private confirmedOutageAtMs(): number {
    const {self, storeRegion, isOnlyListedIn} = this.options;
    if (self.region !== storeRegion) return -Infinity;
    const ownAtMs = this.failedReadAtMs;
    if (ownAtMs === undefined) return -Infinity;
    if (isOnlyListedIn(storeRegion)) return ownAtMs;
    const peerReports = [...this.failedReadReports.values()].filter(
      report => report.region === storeRegion,
    );
    const latest = Math.max(
      -Infinity,
      ...peerReports.map(report => report.atMs),
    );
    return Math.min(ownAtMs, latest);
  }

  private advanceEvidence(atMs: number): void {
    this.evidenceAtMs = Math.max(this.evidenceAtMs, atMs);
  }
}
