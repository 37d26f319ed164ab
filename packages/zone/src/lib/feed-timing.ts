/**
 * Bounds on the age of what an instance knows of a shared feed, such that each
 * instance that reaches the table has each change within a promise.
 *
 * The age counts from the last confirmation by the table, whichever instance read
 * it and however many passed it on. Each instance watches its own age alone: it
 * reads the table itself at a limit, whatever the leader that it reads from does.
 * A change is then known everywhere after the highest limit and the time of one
 * read, which must be within the promise.
 */

export interface FeedTimingOptions {
  /** Time within which a change must be known everywhere. */
  promiseMs: number;
  /** Longest wait of one call for changes; derived from the promise if absent. */
  waitMs?: number;
}

// A table that takes up to 250 ms for a response makes nobody else read it.
const LEADER_MARGIN_MS = 300;
// Members come after the leaders, whose reads spare them their own, and spread
// over a time, so that they don't call the table all at once.
const MEMBER_MARGIN_MS = 400;
const MEMBER_SPREAD_MS = 150;
// Time for connecting to the table, its response, and the change to take effect.
const READ_MS = 450;
const MIN_WAIT_MS = 300;
const MAX_WAIT_MS = 2000;

const HIGHEST_MARGIN_MS = MEMBER_MARGIN_MS + MEMBER_SPREAD_MS;

/** The bounds that a feed keeps. */
export type FeedLimits = Pick<
  FeedTiming,
  'waitMs' | 'highestLimitMs' | 'drawLimitMs'
>;

export class FeedTiming {
  private constructor(
    readonly promiseMs: number,
    /** Age at which a call to the table for changes returns at the latest. */
    readonly waitMs: number,
  ) {}

  static create({promiseMs, waitMs}: FeedTimingOptions): FeedTiming {
    const longestMs = promiseMs - HIGHEST_MARGIN_MS - READ_MS;
    const derivedMs = Math.min(Math.max(longestMs, MIN_WAIT_MS), MAX_WAIT_MS);
    return new FeedTiming(promiseMs, waitMs ?? derivedMs);
  }

  /** The highest age at which an instance begins to read the table. */
  get highestLimitMs(): number {
    return this.waitMs + HIGHEST_MARGIN_MS;
  }

  /** Whether changes are known in time when readers have lost the table. */
  get keepsPromise(): boolean {
    return this.highestLimitMs + READ_MS <= this.promiseMs;
  }

  /**
   * Draws the age at which an instance reads the table itself. Leaders read
   * first, so that their members seldom have to.
   */
  drawLimitMs(isLeader: boolean): number {
    if (isLeader) return this.waitMs + LEADER_MARGIN_MS;
    return this.waitMs + MEMBER_MARGIN_MS + Math.random() * MEMBER_SPREAD_MS;
  }
}
