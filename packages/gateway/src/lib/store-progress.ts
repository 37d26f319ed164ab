/**
 * Tracks whether the store holds all policies that operators have written.
 *
 * A store that returned from an older copy lacks the last ones until operators
 * write them again. Until then it cannot confirm that nothing newer exists: a key
 * may have been withdrawn in the part that is lost. An instance that has just
 * started cannot see that the store was restored, and asks a zone leader first.
 *
 * A policy that cannot be read may withdraw keys as well: the one before it stays
 * in force, but is not confirmed any more.
 */
import type {FeedPage} from '@fireflytrack/discovery';
import type {TrafficPolicy} from '@fireflytrack/policy';

// Time that operators have to write again what this instance has not seen.
const REWRITE_MS = 1000;
// An instance that reaches no leader after its start relies on the store alone
// from then on.
const MAX_LEADER_WAIT_MS = 1000;

export class StoreProgress {
  private era: number | undefined;
  /** Latest version that the store must hold again; undefined if it does. */
  private lostVersion: number | undefined;
  /** Until when the store may lack policies that this instance has not seen. */
  private incompleteUntilMs = 0;
  private isNewestUnreadable = false;
  private leaderWaitUntilMs = performance.now() + MAX_LEADER_WAIT_MS;

  static create(): StoreProgress {
    return new StoreProgress();
  }

  /** A leader has said which policy it knows, or there is none to ask. */
  endLeaderWait(): void {
    this.leaderWaitUntilMs = 0;
  }

  /** Whether the instance has just started and has not asked a leader yet. */
  get awaitsLeader(): boolean {
    return performance.now() < this.leaderWaitUntilMs;
  }

  /** Records a page; `knownVersion` is the policy that was in force before. */
  record(page: FeedPage<TrafficPolicy>, knownVersion: number): void {
    const {era} = page.position;
    if (this.era !== undefined && era > this.era) {
      this.incompleteUntilMs = performance.now() + REWRITE_MS;
      this.lostVersion = knownVersion;
    }
    this.era = Math.max(era, this.era ?? 0);
    const newest = page.rows.at(-1);
    if (newest) this.isNewestUnreadable = !newest.item;
    const stored = newest?.item?.version ?? -1;
    if (stored >= (this.lostVersion ?? Infinity)) this.lostVersion = undefined;
  }

  /** Whether the store's newest policy cannot be read. */
  get isUnreadable(): boolean {
    return this.isNewestUnreadable;
  }

  /** Whether pages of the store confirm that no newer policy exists. */
  get isComplete(): boolean {
    return (
      !this.awaitsLeader &&
      !this.isNewestUnreadable &&
      this.lostVersion === undefined &&
      performance.now() >= this.incompleteUntilMs
    );
  }
}
