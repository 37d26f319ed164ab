/**
 * A table outside the process whose changes can be followed.
 *
 * `Item` is what one row means to the product; rows that mean nothing are left
 * out by the implementation.
 */
import type {Result} from '@fireflytrack/result';

export interface FeedRow<Item> {
  key: string;
  /** Absent when the row was removed or holds nothing usable. */
  item: Item | undefined;
}

export interface FeedPage<Item> {
  rows: FeedRow<Item>[];
  /** Newest revision that the page covers. */
  revision: number;
  /**
   * From the sending of the call to the latest moment at which the page is
   * known to have been complete. Negative when it was passed on by another
   * instance, positive when the table waited and nothing changed.
   */
  confirmedOffsetMs: number;
}

export type FeedError =
  /** The changes since the given revision are no longer kept. */
  | {kind: 'history-gone'; message: string}
  /** The table did not answer, or refused to. */
  | {kind: 'unavailable'; message: string};

export interface ChangeFeed<Item> {
  /** All rows of the table. */
  readAll(): Promise<Result<FeedPage<Item>, FeedError>>;
  /** Waits up to `waitMs` for changes after `revision`. */
  changesAfter(
    revision: number,
    waitMs: number,
  ): Promise<Result<FeedPage<Item>, FeedError>>;
  close(): Promise<void>;
}
