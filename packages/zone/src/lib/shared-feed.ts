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
  /** Longest wait of one call for changes, in milliseconds. */
  waitMs: number;
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

// Longest wait of a relayed call beyond that of a call to the table. A leader
// responds earlier, when its own feed was confirmed.
const RELAY_WAIT_MARGIN_MS = 100;
// A leader whose last confirmation is older than the wait of its own calls and this
// makes others read the table themselves.
const RELAY_AGE_MARGIN_MS = 400;

export class SharedFeed<Item> {
  /** How long ago the table confirmed what this instance knows. */
  readonly lease = FreshnessLease.create();
  private readonly relay: FeedRelay<Item>;
  private readonly relayed: RelayedFeed<Item>;
  private readonly follower: FeedFollower<Item>;
  private callSentAt = readClocks();

  private constructor(options: SharedFeedOptions<Item>) {
    const {name, waitMs, listener, logger} = options;
    this.relay = FeedRelay.create<Item>(
      {name, maxAgeMs: waitMs + RELAY_AGE_MARGIN_MS},
      () => this.lease.ageMs(),
    );
    this.relayed = RelayedFeed.create<Item>({
      name,
      direct: options.direct,
      itemSchema: options.itemSchema,
      relayWaitMs: waitMs + RELAY_WAIT_MARGIN_MS,
      startWaitMs: options.startWaitMs,
      logger,
    });
    this.follower = FeedFollower.create({
      name: options.logName,
      feed: this.relayed,
      waitMs,
      pauseMs: options.pauseMs,
      listener: {
        onCallStart: () => (this.callSentAt = readClocks()),
        onPage: (page, complete) => {
          const ageMs = this.lease.ageMs();
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
