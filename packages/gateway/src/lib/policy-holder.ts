/**
 * Holds the policy in force and the evidence of how fresh it is.
 *
 * Changes arrive by a feed. A request that the policy seems to forbid asks for
 * one direct read first, because the change that allows it may be on its way.
 */
import {FeedFollower} from '@fireflytrack/discovery';
import type {ChangeFeed, FeedPage} from '@fireflytrack/discovery';
import {PolicyTable} from '@fireflytrack/policy';
import type {TrafficPolicy} from '@fireflytrack/policy';
import type {Logger} from '@fireflytrack/telemetry';
import {FeedRelay} from '@fireflytrack/zone';
import {FreshnessLease, readClocks} from './freshness-lease.js';
import type {ClockReading} from './freshness-lease.js';

export interface PolicyHolderOptions {
  /** The feed that is followed. */
  feed: ChangeFeed<TrafficPolicy>;
  /** Answers single reads; must not share a connection with `feed`. */
  reader: ChangeFeed<TrafficPolicy>;
  waitMs: number;
  logger: Logger;
}

// A change of the policy is followed by the next call at once: storms of
// changes come whole each time, so that a version may be skipped.
const CHANGE_PAUSE_MS = 50;
// A leader that was not confirmed for this long tells the members of its zone
// to read the store themselves. It is above the wait of its own calls (1 s).
export const RELAY_AGE_LIMIT_MS = 1400;

export class PolicyHolder {
  readonly lease = FreshnessLease.create();
  /** Passes the policy on to other instances of the zone. */
  readonly relay = FeedRelay.create<TrafficPolicy>(
    {name: 'policy', maxAgeMs: RELAY_AGE_LIMIT_MS},
    () => this.lease.ageMs(),
  );
  private table: PolicyTable | undefined;
  private readonly follower: FeedFollower<TrafficPolicy>;
  private pendingConfirmation: Promise<void> | undefined;
  private callSentAt: ClockReading = readClocks();

  private constructor(private readonly options: PolicyHolderOptions) {
    const {feed, waitMs, logger} = options;
    this.follower = FeedFollower.create({
      name: 'policy feed',
      feed,
      waitMs,
      pauseMs: CHANGE_PAUSE_MS,
      listener: {
        onCallStart: () => (this.callSentAt = readClocks()),
        onPage: (page, complete) => {
          this.onPage(page, this.callSentAt);
          this.relay.keep(page, complete);
        },
      },
      logger,
    });
  }

  static create(options: PolicyHolderOptions): PolicyHolder {
    return new PolicyHolder(options);
  }

  start(): void {
    this.follower.start();
  }

  async stop(): Promise<void> {
    await this.follower.stop();
    await this.options.reader.close();
  }

  current(): PolicyTable | undefined {
    return this.table;
  }

  /** Whether the policy is confirmed to be at most `maxAgeMs` old. */
  async ensureFresh(maxAgeMs: number, waitMs: number): Promise<boolean> {
    if (this.lease.ageMs() <= maxAgeMs) return true;
    this.pendingConfirmation ??= this.confirmByRead();
    return this.lease.waitForAge(maxAgeMs, waitMs);
  }

  private async confirmByRead(): Promise<void> {
    const sentAt = readClocks();
    const page = await this.options.reader.readAll();
    this.pendingConfirmation = undefined;
    if (page.ok) this.onPage(page.val, sentAt);
  }

  private onPage(page: FeedPage<TrafficPolicy>, sentAt: ClockReading): void {
    for (const {item} of page.rows) {
      if (item) this.applyIfNewer(item);
    }
    this.lease.confirm(sentAt, page.confirmedOffsetMs);
  }

  private applyIfNewer(policy: TrafficPolicy): void {
    const current = this.table?.version ?? -1;
    if (policy.version <= current) return;
    this.table = PolicyTable.create(policy, this.table);
    this.options.logger.info('policy in force', {
      version: policy.version,
      replaced: current,
      routes: policy.routes.length,
      teams: policy.teams?.length ?? 0,
    });
  }
}
