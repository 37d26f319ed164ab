/**
 * Tracks when this instance last certainly had everything in the store.
 *
 * Evidence is sent in the same message as the sender's versions and counts only
 * when this instance has at least those versions. Evidence in a separate message
 * could make an instance fresh that never learned of the newest version. Clocks
 * of different instances are not compared: a peer's message is dated by the send
 * time of the own message that it echoes.
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
  private readonly waiting = new Map<string, ReportedEvidence[]>();
  private readonly newestSentAtMs = new Map<string, number>();
  /** Failing store reads reported by other instances in the store's region. */
  private readonly outageReports = new Map<string, ReportedEvidence>();

  private constructor(private readonly options: VersionEvidenceOptions) {}

  static create(options: VersionEvidenceOptions): VersionEvidence {
    return new VersionEvidence(options);
  }

  /** Age of the newest evidence; infinite without any. */
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
   * there is no other instance in the store's region that could confirm the
   * outage, and not for an instance that never read the store: it may have an
   * old version and be the only one that cannot reach the store.
   */
  recordFailedRead(sentAtMs: number): void {
    this.readsFailing = true;
    const alone = this.hasReadStore && this.requiredOutageReports() === 0;
    if (alone && this.mayConfirmOutage()) this.advance(sentAtMs);
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
    const list = this.waiting.get(instanceId) ?? [];
    list.push({atMs: echoedAtMs - message.ageMs, versions: message});
    this.waiting.set(instanceId, list.slice(-MAX_PENDING_PER_PEER));
  }

  removePeer(instanceId: string): void {
    this.waiting.delete(instanceId);
    this.newestSentAtMs.delete(instanceId);
    this.outageReports.delete(instanceId);
  }

  private applyPending(): void {
    for (const [instanceId, list] of this.waiting) {
      const left = list.filter(evidence => {
        if (evidence.atMs <= this.evidenceAtMs) return false;
        if (!this.options.isReplicaAtLeast(evidence.versions)) return true;
        this.advance(evidence.atMs);
        return false;
      });
      if (left.length > 0) this.waiting.set(instanceId, left);
      else this.waiting.delete(instanceId);
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
    const required = this.requiredOutageReports();
    if (required === 0) return;
    const times = [...this.outageReports.values()]
      .filter(witness => this.options.isReplicaAtLeast(witness.versions))
      .map(witness => witness.atMs)
      .sort((a, b) => b - a);
    this.advance(times[required - 1] ?? -Infinity);
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
