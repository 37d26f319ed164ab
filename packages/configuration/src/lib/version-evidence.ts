/**
 * How recently this instance certainly held everything the store held.
 *
 * Evidence travels in the same message as the sender's versions and counts only
 * once this instance holds at least those versions. Evidence in a separate
 * frame could make an instance fresh that never heard of the newest version.
 * No clocks are compared: a peer's message counts from the time at which the
 * own message that it echoes was sent.
 */
import type {Membership} from '@fireflytrack/membership';
import type {PeerIdentity} from '@fireflytrack/wire';
import type {Holdings, VersionsMessage} from './distribution-messages.js';

export interface VersionEvidenceOptions {
  membership: Membership;
  storeRegion: string;
  /** Whether this instance holds at least what `holdings` name. */
  holds(holdings: Holdings): boolean;
  /** Whether this instance completed its start. */
  isReady(): boolean;
}

interface WaitingEvidence {
  atMs: number;
  holdings: Holdings;
}

// 5 s of messages every 200 ms; older evidence is beyond the freshness limit.
const MAX_WAITING = 25;

export class VersionEvidence {
  /** Whether the last read of the store got no answer. */
  readsFailing = false;
  private everRead = false;
  private evidenceAtMs = -Infinity;
  private readonly waiting = new Map<string, WaitingEvidence[]>();
  private readonly heardSentAtMs = new Map<string, number>();
  /** Failing reads that other instances of the store's region report. */
  private readonly witnesses = new Map<string, WaitingEvidence>();

  private constructor(private readonly options: VersionEvidenceOptions) {}

  static create(options: VersionEvidenceOptions): VersionEvidence {
    return new VersionEvidence(options);
  }

  /** Age of the newest evidence; infinite without any. */
  ageMs(): number {
    this.settle();
    return performance.now() - this.evidenceAtMs;
  }

  /** The store answered a read sent then, and all it named is held here. */
  recordCompleteRead(sentAtMs: number): void {
    this.readsFailing = false;
    this.everRead = true;
    this.advance(sentAtMs);
  }

  /**
   * A read sent then got no answer. That is evidence by itself only when no
   * other instance of the store's region could bear witness, and not for an
   * instance that never read the store: it may hold an old version and be the
   * only one that cannot reach the store.
   */
  recordFailedRead(sentAtMs: number): void {
    this.readsFailing = true;
    const alone = this.everRead && this.requiredWitnesses() === 0;
    if (alone && this.mayWitness()) this.advance(sentAtMs);
  }

  /** Time stamp of the peer's newest message, to be echoed to it. */
  echoFor(instanceId: string): number | undefined {
    return this.heardSentAtMs.get(instanceId);
  }

  recordMessage(from: PeerIdentity, message: VersionsMessage): void {
    const {instanceId} = from;
    this.heardSentAtMs.set(instanceId, message.sentAtMs);
    const echoedAtMs = message.echoedSentAtMs;
    if (echoedAtMs === undefined || echoedAtMs > performance.now()) return;
    if (!message.readsFailing) {
      this.witnesses.delete(instanceId);
    } else if (from.region === this.options.storeRegion) {
      this.witnesses.set(instanceId, {atMs: echoedAtMs, holdings: message});
    }
    if (message.ageMs === undefined) return;
    const list = this.waiting.get(instanceId) ?? [];
    list.push({atMs: echoedAtMs - message.ageMs, holdings: message});
    this.waiting.set(instanceId, list.slice(-MAX_WAITING));
  }

  forget(instanceId: string): void {
    this.waiting.delete(instanceId);
    this.heardSentAtMs.delete(instanceId);
    this.witnesses.delete(instanceId);
  }

  private settle(): void {
    for (const [instanceId, list] of this.waiting) {
      const left = list.filter(evidence => {
        if (evidence.atMs <= this.evidenceAtMs) return false;
        if (!this.options.holds(evidence.holdings)) return true;
        this.advance(evidence.atMs);
        return false;
      });
      if (left.length > 0) this.waiting.set(instanceId, left);
      else this.waiting.delete(instanceId);
    }
    this.settleWitnesses();
  }

  /**
   * An outage of the store counts from the time at which more than half of the
   * region's instances reported it. A single witness would let two instances
   * that lost only their own way to the store confirm each other.
   */
  private settleWitnesses(): void {
    if (!this.readsFailing || !this.mayWitness()) return;
    const required = this.requiredWitnesses();
    if (required === 0) return;
    const times = [...this.witnesses.values()]
      .filter(witness => this.options.holds(witness.holdings))
      .map(witness => witness.atMs)
      .sort((a, b) => b - a);
    this.advance(times[required - 1] ?? -Infinity);
  }

  private requiredWitnesses(): number {
    const {membership, storeRegion} = this.options;
    const others = membership
      .others()
      .filter(other => other.identity.region === storeRegion);
    return Math.ceil(others.length / 2);
  }

  private mayWitness(): boolean {
    const {membership, storeRegion} = this.options;
    return membership.self.region === storeRegion && this.options.isReady();
  }

  private advance(atMs: number): void {
    this.evidenceAtMs = Math.max(this.evidenceAtMs, atMs);
  }
}
