/**
 * Follows a change feed until stopped: one full read, then changes.
 *
 * A full read replaces the known rows; changes update them. After a failure the
 * follower continues from the last position if the history still reaches back to
 * it, and does a full read otherwise. It never returns to an earlier era of the
 * table.
 */
import {Err} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {toLogText} from '@fireflytrack/telemetry';
import type {Logger} from '@fireflytrack/telemetry';
import type {
  ChangeFeed,
  FeedError,
  FeedPage,
  FeedPosition,
} from './change-feed.js';

export interface FeedListener<Item> {
  /** Called before each call to the feed; calls never overlap. */
  onCallStart?(): void;
  /** Called with each page; `complete` marks the result of a full read. */
  onPage(page: FeedPage<Item>, complete: boolean): void;
  /** Called once per outage, when its first call fails. */
  onUnavailable?(): void;
  /** Called after the first successful call that follows an outage. */
  onRecovered?(): void;
  /**
   * Called before the first page of a table that returned from an older copy;
   * the page is the result of a full read.
   */
  onRestored?(): void;
}

export interface FeedFollowerOptions<Item> {
  /** Name of the feed in logs. */
  name: string;
  feed: ChangeFeed<Item>;
  listener: FeedListener<Item>;
  /** Longest wait of one call; also bounds the use of a dead connection. */
  waitMs: number;
  /** Pause after a call that returned changes; batches the next changes. */
  pauseMs: number;
  /** Longest pause at present; not limited if absent. */
  maxPauseMs?(): number;
  logger: Logger;
}

// Pause after the first failed call. It doubles with each failure up to the limit.
// Half of it is random, so that the instances of a fleet don't retry in step.
const RETRY_PAUSE_MS = 100;
const MAX_RETRY_PAUSE_MS = 400;

export class FeedFollower<Item> {
  private stopped = false;
  private position: FeedPosition | undefined;
  /** The latest era of the table that was seen; undefined before the first. */
  private newestEra: number | undefined;
  private failures = 0;
  private wake: (() => void) | undefined;

  private constructor(private readonly options: FeedFollowerOptions<Item>) {}

  static create<Item>(options: FeedFollowerOptions<Item>): FeedFollower<Item> {
    return new FeedFollower(options);
  }

  start(): void {
    void this.run();
  }

  async stop(): Promise<void> {
    this.stopped = true;
    this.wake?.();
    await this.options.feed.close();
  }

  /** Ends the current pause, for a caller that needs changes immediately. */
  skipPause(): void {
    this.wake?.();
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      const pauseMs = await this.poll();
      if (this.stopped) return;
      if (pauseMs > 0) await this.pause(pauseMs);
    }
  }

  /** Makes one call. Returns the pause before the next in milliseconds. */
  private async poll(): Promise<number> {
    const {pauseMs, listener} = this.options;
    listener.onCallStart?.();
    const {position} = this;
    const complete = position === undefined;
    const page = await this.read(position);
    if (this.stopped) return 0;
    if (page.err) return this.handleFailure(page.val.kind, page.val.message);
    const {era} = page.val.position;
    if (era < (this.newestEra ?? 0)) {
      return this.handleFailure('unavailable', `era ${era} has ended`);
    }
    if (position && era !== position.era) {
      return this.handleFailure('history-gone', `era ${era} has begun`);
    }
    this.handleRecovery();
    this.recordEra(era);
    this.position = page.val.position;
    this.passOn(page.val, complete);
    if (page.val.rows.length === 0) return 0;
    return Math.min(pauseMs, this.options.maxPauseMs?.() ?? pauseMs);
  }

  private async read(
    position: FeedPosition | undefined,
  ): Promise<Result<FeedPage<Item>, FeedError>> {
    const {feed, waitMs} = this.options;
    try {
      return position
        ? await feed.changesAfter(position, waitMs)
        : await feed.readAll(this.newestEra ?? 0);
    } catch (error) {
      return Err({kind: 'unavailable', message: String(error)});
    }
  }

  /** A page that cannot be applied must end neither the feed nor the process. */
  private passOn(page: FeedPage<Item>, complete: boolean): void {
    const {name, listener, logger} = this.options;
    try {
      listener.onPage(page, complete);
    } catch (error) {
      const {revision} = page.position;
      const reason = toLogText(String(error));
      logger.error('feed page not applied', {feed: name, revision, reason});
    }
  }

  private handleFailure(kind: string, message: string): number {
    const {name, logger, listener} = this.options;
    if (kind === 'history-gone') {
      const fields = {feed: name, reason: toLogText(message)};
      logger.warn('feed history gone, reading all rows', fields);
      this.position = undefined;
      return 0;
    }
    this.failures += 1;
    if (this.failures === 1) {
      const reason = toLogText(message);
      logger.warn('dependency lost', {dependency: name, reason});
      listener.onUnavailable?.();
    }
    const growth = 2 ** Math.min(this.failures - 1, 4);
    const pauseMs = Math.min(RETRY_PAUSE_MS * growth, MAX_RETRY_PAUSE_MS);
    return pauseMs * (0.5 + Math.random() / 2);
  }

  private recordEra(era: number): void {
    const before = this.newestEra;
    this.newestEra = era;
    if (before === undefined || before === era) return;
    const {name, logger, listener} = this.options;
    logger.warn('table returned from an older copy', {feed: name, era, before});
    listener.onRestored?.();
  }

  private handleRecovery(): void {
    if (this.failures === 0) return;
    const {name, logger, listener} = this.options;
    logger.info('dependency regained', {
      dependency: name,
      failedCalls: this.failures,
    });
    this.failures = 0;
    listener.onRecovered?.();
  }

  private pause(durationMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(() => this.wake?.(), durationMs);
      this.wake = () => {
        clearTimeout(timer);
        this.wake = undefined;
        resolve();
      };
    });
  }
}
