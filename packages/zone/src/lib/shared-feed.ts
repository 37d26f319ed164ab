/**
 * A feed of the table that the instances of a fleet read for each other. Each
 * instance follows it, through a leader or directly, and serves its pages to the
 * instances that read from it while it leads.
 */
import {FeedFollower} from '@fireflytrack/discovery';
import type {ChangeFeed, FeedListener, FeedPage} from '@fireflytrack/discovery';
import type {Logger} from '@fireflytrack/telemetry';
import {readClocks} from '@fireflytrack/time';
import type {ClockReading} from '@fireflytrack/time';
import type {z} from 'zod';
import {FeedRelay} from './feed-relay.js';
import type {FeedLimits} from './feed-timing.js';
import {FreshnessLease} from './freshness-lease.js';
import {RelayedFeed} from './relayed-feed.js';
import type {RelayAccess} from './relayed-feed.js';

export interface SharedFeedListener<Item>
  extends Omit<FeedListener<Item>, 'onCallStart' | 'onPage'> {
  /**
   * Called with each page of a call that was sent at `sentAt`; `complete` marks
   * the result of a full read.
   */
  onPage(page: FeedPage<Item>, complete: boolean, sentAt: ClockReading): void;
}

export interface SharedFeedOptions<Item> {
  /** Name of the feed in messages, unique within the process. */
  name: string;
  /** Name of the feed in logs. */
  logName: string;
  direct: ChangeFeed<Item>;
  itemSchema: z.ZodType<Item>;
  timing: FeedLimits;
  /** Pause after a call that returned changes, in milliseconds. */
  pauseMs: number;
  /** Longest wait of the first read for a leader, in milliseconds. */
  startWaitMs?: number;
  listener: SharedFeedListener<Item>;
  /** Called with each page, before it is passed on. */
  observe?(observation: FeedObservation): void;
  logger: Logger;
}

export interface FeedObservation {
  /** Name of the feed in messages. */
  feed: string;
  /** Age of the last confirmation; Infinity before the first. */
  ageMs: number;
  isRelayed: boolean;
}

export class SharedFeed<Item> {
  /**
   * How long ago the table confirmed what this instance knows. The listener
   * renews it, because not every page confirms that nothing newer exists.
   */
  readonly lease = FreshnessLease.create();
  /** How long ago the table was read, whatever it held. */
  private readonly lastRead = FreshnessLease.create();
  private readonly relay: FeedRelay<Item>;
  private readonly relayed: RelayedFeed<Item>;
  private readonly follower: FeedFollower<Item>;
  private callSentAt = readClocks();

  private constructor(options: SharedFeedOptions<Item>) {
    const {name, timing, listener, logger} = options;
    this.relay = FeedRelay.create<Item>(
      {name, maxAgeMs: timing.highestLimitMs},
      () => this.lease.ageMs(),
    );
    this.relayed = RelayedFeed.create<Item>({
      name,
      direct: options.direct,
      itemSchema: options.itemSchema,
      timing,
      ageMs: () => this.lastRead.ageMs(),
      startWaitMs: options.startWaitMs,
      logger,
    });
    this.follower = FeedFollower.create({
      name: options.logName,
      feed: this.relayed,
      waitMs: timing.waitMs,
      pauseMs: options.pauseMs,
      // The next confirmation must not be later than without changes.
      maxPauseMs: () => Math.max(0, timing.waitMs - this.lastRead.ageMs()),
      listener: {
        onCallStart: () => (this.callSentAt = readClocks()),
        onPage: (page, complete) => {
          const ageMs = this.lastRead.ageMs();
          this.lastRead.confirm(this.callSentAt, page.confirmedOffsetMs);
          const isRelayed = page.origin !== undefined;
          options.observe?.({feed: name, ageMs, isRelayed});
          listener.onPage(page, complete, this.callSentAt);
          this.relay.storePage(page, complete);
        },
        onUnavailable: () => listener.onUnavailable?.(),
        onRecovered: () => listener.onRecovered?.(),
        onRestored: () => listener.onRestored?.(),
      },
      logger,
    });
  }

  static create<Item>(options: SharedFeedOptions<Item>): SharedFeed<Item> {
    return new SharedFeed(options);
  }

  start(): void {
    this.follower.start();
  }

  stop(): Promise<void> {
    return this.follower.stop();
  }

  /** Ends a pause, because the table has been reached by other means. */
  retryNow(): void {
    this.follower.skipPause();
  }

  /** From now on, reads from leaders and serves others. */
  join(access: RelayAccess): void {
    this.relay.serve(access.network, access.election);
    this.relayed.useRelay(access);
  }

  /** Answers the requests that wait, because the feed was confirmed again. */
  announceConfirmation(): void {
    this.relay.announceConfirmation();
  }
}
