/**
 * A source of changes to an external table.
 *
 * `Item` is the parsed content of a row. Implementations omit rows that are not
 * relevant.
 */
import type {Result} from '@fireflytrack/result';

export interface FeedRow<Item> {
  key: string;
  /** Undefined when the row was removed or its content is unusable. */
  item: Item | undefined;
}

/**
 * A place in a feed. The era rises each time the table returns from an older
 * copy; revisions are given out again then, so that revisions of different eras
 * are not comparable.
 */
export interface FeedPosition {
  era: number;
  revision: number;
}

/** The instance that relayed a page, and its state when it responded. */
export interface FeedOrigin {
  leader: string;
  /** Age of the leader's own confirmation, in milliseconds. */
  ageMs: number;
  /** How long the leader held the request, in milliseconds. */
  heldMs: number;
}

export interface FeedPage<Item> {
  rows: FeedRow<Item>[];
  /** Latest position that the page covers. */
  position: FeedPosition;
  /**
   * Milliseconds from the sending of the call to the latest moment at which the
   * page is known to have been up to date. Negative when another instance relayed
   * the page; positive when the table waited and nothing changed.
   */
  confirmedOffsetMs: number;
  /** Absent if the page came from the table itself. */
  origin?: FeedOrigin;
}

export type FeedError =
  /** The changes since the given revision are no longer stored. */
  | {kind: 'history-gone'; message: string}
  /** The table did not respond or refused the call. */
  | {kind: 'unavailable'; message: string};

export interface ChangeFeed<Item> {
  /**
   * Reads all rows of the table; sources that lag behind the era `minEra` are not
   * used.
   */
  readAll(minEra: number): Promise<Result<FeedPage<Item>, FeedError>>;
  /** Waits up to `waitMs` for changes after `position` (long polling). */
  changesAfter(
    position: FeedPosition,
    waitMs: number,
  ): Promise<Result<FeedPage<Item>, FeedError>>;
  close(): Promise<void>;
}
