/**
 * How recently this instance certainly held everything the store held.
 *
 * Evidence travels in the same message as the sender's versions and counts only
 * once this instance holds at least those versions. Evidence in a separate
 * frame could make an instance fresh that never heard of the newest version.
 * No clocks are compared: a peer's message counts from the time at which the
 * own message that it echoes was sent.
 */
import type {PeerIdentity} from '@fireflytrack/wire';
import type {Holdings, VersionsMessage} from './distribution-messages.js';

export interface VersionEvidenceOptions {
  region: string;
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
  private evidenceAtMs = -Infinity;
  private readonly waiting = new Map<string, WaitingEvidence[]>();
  private readonly heardSentAtMs = new Map<string, number>();

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
    this.advance(sentAtMs);
  }

  /**
   * A read sent then got no answer. In the store's region that counts as
   * evidence when no other instance runs there that could bear witness.
   */
  recordFailedRead(sentAtMs: number, aloneInRegion: boolean): void {
    this.readsFailing = true;
    if (aloneInRegion && this.inStoreRegion()) this.advance(sentAtMs);
  }

  /** Time stamp of the peer's newest message, to be echoed to it. */
  echoFor(instanceId: string): number | undefined {
    return this.heardSentAtMs.get(instanceId);
  }

  recordMessage(from: PeerIdentity, message: VersionsMessage): void {
    this.heardSentAtMs.set(from.instanceId, message.sentAtMs);
    const echoedAtMs = message.echoedSentAtMs;
    if (echoedAtMs === undefined || echoedAtMs > performance.now()) return;
    const witnessed =
      this.options.isReady() &&
      this.readsFailing &&
      message.readsFailing &&
      this.inStoreRegion() &&
      from.region === this.options.storeRegion;
    const ageMs = witnessed ? 0 : message.ageMs;
    if (ageMs === undefined) return;
    const list = this.waiting.get(from.instanceId) ?? [];
    list.push({atMs: echoedAtMs - ageMs, holdings: message});
    this.waiting.set(from.instanceId, list.slice(-MAX_WAITING));
  }

  forget(instanceId: string): void {
    this.waiting.delete(instanceId);
    this.heardSentAtMs.delete(instanceId);
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
  }

  private advance(atMs: number): void {
    this.evidenceAtMs = Math.max(this.evidenceAtMs, atMs);
  }

  private inStoreRegion(): boolean {
    return this.options.region === this.options.storeRegion;
  }
}
