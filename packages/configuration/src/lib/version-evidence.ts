/**
 * Tracks when this instance last certainly had the complete state of the store.
 *
 * Evidence is sent in the same message as the sender's versions and counts only
 * when this instance has at least those versions. Evidence in a separate message
 * could make an instance count as fresh that never received the newest version.
 * Clocks of different instances are not compared: a peer's message counts from
 * the send time of this instance's message that it echoes.
 */
import type {Membership} from '@fireflytrack/membership';
import type {PeerIdentity} from '@fireflytrack/wire';
import type {
  ReplicaVersions,
  VersionsMessage,
} from './distribution-messages.js';

export interface VersionEvidenceOptions {
  membership: Membership;
  storeRegion: string;
  /** Whether the local replica is at least as new as `versions`. */
  isReplicaAtLeast(versions: ReplicaVersions): boolean;
  /** Whether this instance has completed its startup. */
  isReady(): boolean;
}

interface ReportedEvidence {
  atMs: number;
  versions: ReplicaVersions;
}

// 5 s of messages every 200 ms; older evidence exceeds the freshness limit.
const MAX_PENDING_PER_PEER = 25;

export class VersionEvidence {
  /** Whether the last read of the store failed. */
  readsFailing = false;
  private hasReadStore = false;
  private evidenceAtMs = -Infinity;
  private readonly pendingByPeer = new Map<string, ReportedEvidence[]>();
  private readonly newestSentAtMs = new Map<string, number>();
  /** Failing store reads reported by other instances in the store's region. */
  private readonly outageReports = new Map<string, ReportedEvidence>();

  private constructor(private readonly options: VersionEvidenceOptions) {}

  static create(options: VersionEvidenceOptions): VersionEvidence {
    return new VersionEvidence(options);
  }

  /** Age of the newest evidence; infinite if there is none. */
  ageMs(): number {
    this.applyPending();
    return performance.now() - this.evidenceAtMs;
  }

  /** Records a read sent at `sentAtMs` after which the replica is up to date. */
  recordCompleteRead(sentAtMs: number): void {
    this.readsFailing = false;
    this.hasReadStore = true;
    this.advance(sentAtMs);
  }

  /**
   * Records a failed read sent at `sentAtMs`. It is evidence by itself only if
   * no other instance in the store's region could confirm the outage and this
   * instance has read the store before. Otherwise it may have an old version and
   * be the only one that cannot reach the store.
   */
  recordFailedRead(sentAtMs: number): void {
    this.readsFailing = true;
    const needsNoConfirmation =
      this.hasReadStore && this.requiredOutageReports() === 0;
    if (needsNoConfirmation && this.mayConfirmOutage()) this.advance(sentAtMs);
  }

  /** Timestamp of the peer's newest message, to be echoed to it. */
  echoTimestampFor(instanceId: string): number | undefined {
    return this.newestSentAtMs.get(instanceId);
  }

  recordMessage(from: PeerIdentity, message: VersionsMessage): void {
    const {instanceId} = from;
    this.newestSentAtMs.set(instanceId, message.sentAtMs);
    const echoedAtMs = message.echoedSentAtMs;
    if (echoedAtMs === undefined || echoedAtMs > performance.now()) return;
    if (!message.readsFailing) {
      this.outageReports.delete(instanceId);
    } else if (from.region === this.options.storeRegion) {
      this.outageReports.set(instanceId, {atMs: echoedAtMs, versions: message});
    }
    if (message.ageMs === undefined) return;
    const pending = this.pendingByPeer.get(instanceId) ?? [];
    pending.push({atMs: echoedAtMs - message.ageMs, versions: message});
    this.pendingByPeer.set(instanceId, pending.slice(-MAX_PENDING_PER_PEER));
  }

  removePeer(instanceId: string): void {
    this.pendingByPeer.delete(instanceId);
    this.newestSentAtMs.delete(instanceId);
    this.outageReports.delete(instanceId);
  }

  private applyPending(): void {
    for (const [instanceId, pending] of this.pendingByPeer) {
      const remaining = pending.filter(evidence => {
        if (evidence.atMs <= this.evidenceAtMs) return false;
        if (!this.options.isReplicaAtLeast(evidence.versions)) return true;
        this.advance(evidence.atMs);
        return false;
      });
      if (remaining.length > 0) this.pendingByPeer.set(instanceId, remaining);
      else this.pendingByPeer.delete(instanceId);
    }
    this.applyOutageReports();
  }

  /**
   * An outage of the store counts from the time at which more than half of the
   * region's instances reported it. With a single report, two instances that
   * only lost their own connection to the store could confirm each other.
   */
  private applyOutageReports(): void {
    if (!this.readsFailing || !this.mayConfirmOutage()) return;
    const requiredReports = this.requiredOutageReports();
    if (requiredReports === 0) return;
    const reportedAtMs = [...this.outageReports.values()]
      .filter(report => this.options.isReplicaAtLeast(report.versions))
      .map(report => report.atMs)
      .sort((a, b) => b - a);
    this.advance(reportedAtMs[requiredReports - 1] ?? -Infinity);
  }

  private requiredOutageReports(): number {
    const {membership, storeRegion} = this.options;
    const others = membership
      .others()
      .filter(other => other.identity.region === storeRegion);
    return Math.ceil(others.length / 2);
  }

  private mayConfirmOutage(): boolean {
    const {membership, storeRegion} = this.options;
    return membership.self.region === storeRegion && this.options.isReady();
  }

  private advance(atMs: number): void {
    this.evidenceAtMs = Math.max(this.evidenceAtMs, atMs);
  }
}
