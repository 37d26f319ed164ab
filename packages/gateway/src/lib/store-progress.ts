/**
 * Tracks whether the store holds all policies that operators have written.
 *
 * A store that returned from an older copy lacks the last ones until operators
 * write them again. Until then it cannot confirm that nothing newer exists: a key
 * may have been withdrawn in the part that is lost.
 */
import type {FeedPage} from '@fireflytrack/discovery';
import type {TrafficPolicy} from '@fireflytrack/policy';

// Time that operators have to write again what this instance has not seen.
const REWRITE_MS = 1000;

export class StoreProgress {
  private era: number | undefined;
  /** Latest version that the store must hold again; undefined if it does. */
  private lostVersion: number | undefined;
  /** Until when the store may lack policies that this instance has not seen. */
  private incompleteUntilMs = 0;

  static create(): StoreProgress {
    return new StoreProgress();
  }

  /** Records a page; `knownVersion` is the policy that was in force before. */
  record(page: FeedPage<TrafficPolicy>, knownVersion: number): void {
    const {era} = page.position;
    if (this.era !== undefined && era > this.era) {
      this.incompleteUntilMs = performance.now() + REWRITE_MS;
      this.lostVersion = knownVersion;
    }
    this.era = Math.max(era, this.era ?? 0);
    const stored = page.rows.at(-1)?.item?.version ?? -1;
    if (stored >= (this.lostVersion ?? Infinity)) this.lostVersion = undefined;
  }

  /** Whether pages of the store confirm that no newer policy exists. */
  get isComplete(): boolean {
    return (
      this.lostVersion === undefined &&
      performance.now() >= this.incompleteUntilMs
    );
  }
}
