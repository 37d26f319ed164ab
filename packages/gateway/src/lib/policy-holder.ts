/**
 * Holds the policy in force and tracks how fresh it is.
 *
 * Changes arrive through a feed. Before a request is denied, the policy is read
 * directly once, because the change that allows it may still be in transit.
 */
import type {ChangeFeed, FeedOrigin, FeedPage} from '@fireflytrack/discovery';
import {PolicyTable, trafficPolicySchema} from '@fireflytrack/policy';
import type {TrafficPolicy} from '@fireflytrack/policy';
import {toLogText} from '@fireflytrack/telemetry';
import type {Logger} from '@fireflytrack/telemetry';
import {SharedFeed} from '@fireflytrack/zone';
import type {
  FeedObservation,
  FeedTiming,
  FreshnessLease,
} from '@fireflytrack/zone';
import {readClocks} from '@fireflytrack/time';
import type {ClockReading} from '@fireflytrack/time';
import {PolicyExchange} from './policy-exchange.js';
import {StoreProgress} from './store-progress.js';

export interface PolicyHolderOptions {
  /** The feed that delivers changes. */
  feed: ChangeFeed<TrafficPolicy>;
  /** Serves direct reads; must not share a connection with `feed`. */
  reader: ChangeFeed<TrafficPolicy>;
  timing: FeedTiming;
  /** Longest wait of the first read for a leader. */
  startWaitMs?: number;
  /** Called with each page of the feed. */
  observe?(observation: FeedObservation): void;
  /** Called when the feed has reached the store again. */
  onStoreReached?(): void;
  logger: Logger;
}

// Pause after a change before the next feed call. It is short because each
// change carries the complete policy, so that versions can be skipped when many
// changes follow each other.
const CHANGE_PAUSE_MS = 50;

// Bounds the log line about parts that are not taken.
const MAX_LOGGED_NOTICES = 10;
const MAX_NOTICE_CHARS = 200;

export class PolicyHolder {
  /** The policy as the instances of the fleet read it for each other. */
  readonly feed: SharedFeed<TrafficPolicy>;
  /** Exchanges the newest policy with zone leaders. */
  readonly exchange: PolicyExchange;
  private table: PolicyTable | undefined;
  private pendingConfirmation: Promise<void> | undefined;
  private readonly store = StoreProgress.create();
  /** The last confirmation before a leader was asked. */
  private firstConfirmation:
    | {sentAt: ClockReading; offsetMs: number}
    | undefined;

  private constructor(private readonly options: PolicyHolderOptions) {
    const {logger} = options;
    this.exchange = PolicyExchange.create({
      current: () => this.table?.policy,
      offer: policy => this.applyIfNewer(policy),
      onAsked: () => this.endLeaderWait(),
      logger,
    });
    this.feed = SharedFeed.create<TrafficPolicy>({
      name: 'policy',
      logName: 'policy feed',
      direct: options.feed,
      itemSchema: trafficPolicySchema,
      timing: options.timing,
      pauseMs: CHANGE_PAUSE_MS,
      startWaitMs: options.startWaitMs,
      observe: options.observe,
      listener: {
        onPage: (page, _complete, sentAt) => this.applyPage(page, sentAt),
        onRecovered: () => options.onStoreReached?.(),
      },
      logger,
    });
  }

  static create(options: PolicyHolderOptions): PolicyHolder {
    return new PolicyHolder(options);
  }

  /** How long ago the store confirmed the policy in force. */
  get lease(): FreshnessLease {
    return this.feed.lease;
  }

  start(): void {
    this.feed.start();
  }

  async stop(): Promise<void> {
    await this.feed.stop();
    await this.options.reader.close();
  }

  /** Whether the store's newest policy cannot be read. */
  get isUnreadable(): boolean {
    return this.store.isUnreadable;
  }

  /** The policy in force; undefined before the first page. */
  current(): PolicyTable | undefined {
    return this.table;
  }

  /**
   * Whether the policy was confirmed within the last `maxAgeMs`. If it was not,
   * reads the store and waits up to `waitMs` for the confirmation.
   */
  async ensureFresh(maxAgeMs: number, waitMs: number): Promise<boolean> {
    if (this.lease.ageMs() <= maxAgeMs) return true;
    this.pendingConfirmation ??= this.confirmByRead();
    return this.lease.waitForAge(maxAgeMs, waitMs);
  }

  private async confirmByRead(): Promise<void> {
    const sentAt = readClocks();
    const page = await this.options.reader.readAll(0);
    this.pendingConfirmation = undefined;
    if (page.ok) this.applyPage(page.val, sentAt);
  }

  private applyPage(page: FeedPage<TrafficPolicy>, sentAt: ClockReading): void {
    this.store.record(page, this.table?.version ?? -1);
    for (const {item} of page.rows) {
      if (item) this.applyIfNewer(item, page.origin);
    }
    const offsetMs = page.confirmedOffsetMs;
    if (this.store.awaitsLeader) this.firstConfirmation = {sentAt, offsetMs};
    else if (this.store.isComplete) this.lease.confirm(sentAt, offsetMs);
  }

  private endLeaderWait(): void {
    this.store.endLeaderWait();
    const first = this.firstConfirmation;
    this.firstConfirmation = undefined;
    if (first && this.store.isComplete) {
      this.lease.confirm(first.sentAt, first.offsetMs);
      this.feed.announceConfirmation();
    }
  }

  private logNotices({version, notices = []}: TrafficPolicy): void {
    if (notices.length === 0) return;
    this.options.logger.warn('parts of the policy not taken', {
      version,
      count: notices.length,
      parts: notices
        .slice(0, MAX_LOGGED_NOTICES)
        .map(({part, name, reason}) =>
          toLogText(`${part} ${name}: ${reason}`, MAX_NOTICE_CHARS),
        ),
    });
  }

  private applyIfNewer(policy: TrafficPolicy, origin?: FeedOrigin): void {
    const current = this.table?.version ?? -1;
    if (policy.version <= current) return;
    this.table = PolicyTable.create(policy, this.table);
    const ageMs = this.lease.ageMs();
    this.options.logger.info('policy in force', {
      version: policy.version,
      replaced: current,
      routes: policy.routes.length,
      teams: policy.teams?.length ?? 0,
      // Since the last confirmation, before the first of which there is none.
      ...(Number.isFinite(ageMs) ? {ageMs: Math.round(ageMs)} : {}),
      ...describeOrigin(origin),
    });
    this.logNotices(policy);
  }
}

/** Fields of a log line that say from where a policy came. */
function describeOrigin(origin: FeedOrigin | undefined): object {
  if (!origin) return {source: 'store'};
  const {leader, ageMs, heldMs} = origin;
  return {
    source: leader,
    sourceAgeMs: Math.round(ageMs),
    heldMs: Math.round(heldMs),
  };
}
