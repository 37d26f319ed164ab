/**
 * A feed that is read from a leader while one is reachable, and directly from the
 * table otherwise. Both sources use the table's positions, so a reader
 * can switch between them without reading all rows again.
 */
import type {
  ChangeFeed,
  FeedError,
  FeedPage,
  FeedPosition,
  FeedRow,
} from '@fireflytrack/discovery';
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {toLogText} from '@fireflytrack/telemetry';
import type {Logger} from '@fireflytrack/telemetry';
import {sleep} from '@fireflytrack/time';
import type {PeerNetwork} from '@fireflytrack/wire';
import type {z} from 'zod';
import {FeedRelay, relayResponseSchema, relayRowSchema} from './feed-relay.js';
import type {RelayRequest} from './feed-relay.js';
import type {ZoneElection} from './zone-election.js';

export interface RelayedFeedOptions<Item> {
  name: string;
  direct: ChangeFeed<Item>;
  itemSchema: z.ZodType<Item>;
  /** Longest time that the leader may hold a request open, in milliseconds. */
  relayWaitMs: number;
  /**
   * Longest wait of the first read for a leader to read from, in milliseconds. A
   * fleet that starts would otherwise read the table once for each instance.
   */
  startWaitMs?: number;
  /** Gets a line for what a leader sends and is not taken. */
  logger?: Logger;
}

/**
 * Access to the zone leader; available once the instance has joined the zone.
 */
export interface RelayAccess {
  network: PeerNetwork;
  election: ZoneElection;
}

// Connecting to another region takes about 20 ms.
const CONNECT_TIMEOUT_MS = 300;
const START_POLL_MS = 10;
// Longest wait for a leader that has just started itself.
const FIRST_READ_WAIT_MS = 500;

// Added to the requested wait. A leader responds within milliseconds after it;
// a slow leader must not delay changes for longer than the table would.
const RELAY_TIMEOUT_MARGIN_MS = 400;
// After a failed request to the leader, the table is read for this long.
const DIRECT_READ_PERIOD_MS = 2000;
// Longest key of a table; only a faulty leader sends a longer one.
const MAX_KEY_CHARS = 200;
// Bounds the memory; rows beyond it are logged again.
const MAX_LOGGED_ROWS = 1000;

export class RelayedFeed<Item> implements ChangeFeed<Item> {
  private access: RelayAccess | undefined;
  private readDirectUntilMs = 0;
  private hasStarted = false;
  private closed = false;
  /** Keys of rows that were not taken, until they are taken. */
  private readonly loggedRows = new Set<string | undefined>();
  private loggedPage = false;
  /** Instance that the last page came from; undefined for the table. */
  private source: string | undefined;
  private hasSource = false;
  /** Why the table is read. */
  private directReason = '';

  private constructor(private readonly options: RelayedFeedOptions<Item>) {}

  static create<Item>(options: RelayedFeedOptions<Item>): RelayedFeed<Item> {
    return new RelayedFeed(options);
  }

  /** Starts sending reads to the zone leader first. */
  useRelay(access: RelayAccess): void {
    this.access = access;
  }

  async readAll(minEra: number): Promise<Result<FeedPage<Item>, FeedError>> {
    await this.waitForLeader();
    const relayed = await this.requestFromLeader({
      era: minEra,
      waitMs: FIRST_READ_WAIT_MS,
    });
    if (relayed) return relayed;
    this.recordSource(undefined);
    return this.options.direct.readAll(minEra);
  }

  async changesAfter(
    position: FeedPosition,
    waitMs: number,
  ): Promise<Result<FeedPage<Item>, FeedError>> {
    const relayWaitMs = Math.min(waitMs, this.options.relayWaitMs);
    const relayed = await this.requestFromLeader({
      after: position.revision,
      era: position.era,
      waitMs: relayWaitMs,
    });
    if (relayed) return relayed;
    this.recordSource(undefined);
    return this.options.direct.changesAfter(position, waitMs);
  }

  close(): Promise<void> {
    this.closed = true;
    return this.options.direct.close();
  }

  /** Waits once for this instance to follow or become a leader. */
  private async waitForLeader(): Promise<void> {
    const waitMs = this.hasStarted ? 0 : (this.options.startWaitMs ?? 0);
    this.hasStarted = true;
    const giveUpAtMs = performance.now() + waitMs;
    while (!this.closed && performance.now() < giveUpAtMs) {
      const {isLeader, reachableLeader} = this.access?.election ?? {};
      if (isLeader || reachableLeader) return;
      await sleep(START_POLL_MS);
    }
  }

  /** Returns undefined if the table has to be read instead. */
  private async requestFromLeader(
    request: RelayRequest,
  ): Promise<Result<FeedPage<Item>, FeedError> | undefined> {
    const leader = this.access?.election.feedSource;
    if (!this.access || !leader) {
      this.directReason = 'no leader is known';
      return undefined;
    }
    if (performance.now() < this.readDirectUntilMs) return undefined;
    if (!(await this.access.election.connect(leader, CONNECT_TIMEOUT_MS))) {
      this.readDirectFor(`leader ${leader.instanceId} is not reached`);
      return undefined;
    }
    const sentAtMs = performance.now();
    const response = await this.access.network.request(
      leader.instanceId,
      FeedRelay.requestKind(this.options.name),
      request,
      request.waitMs + RELAY_TIMEOUT_MARGIN_MS,
    );
    const parsed = response.ok
      ? relayResponseSchema.safeParse(response.val)
      : undefined;
    if (!parsed?.success) {
      const reason = response.ok ? 'odd page' : response.val.message;
      this.readDirectFor(`leader ${leader.instanceId}: ${reason}`);
      if (parsed) this.logPage(leader.instanceId, parsed.error);
      return undefined;
    }
    this.loggedPage = false;
    if (parsed.data.kind === 'history-gone') {
      const message = 'the leader does not have it';
      return Err({kind: 'history-gone', message});
    }
    const {rows, era, revision, ageMs, heldMs} = parsed.data;
    const elapsedMs = performance.now() - sentAtMs;
    const timedOut = rows.length === 0 && elapsedMs >= request.waitMs;
    const confirmedAtMs = heldMs ?? (timedOut ? request.waitMs : 0);
    const confirmedOffsetMs = confirmedAtMs - Math.max(0, ageMs);
    const items = rows.flatMap(row => this.parseRow(row) ?? []);
    const position = {era, revision};
    const origin = {
      leader: leader.instanceId,
      ageMs,
      heldMs: heldMs ?? elapsedMs,
    };
    this.recordSource(leader.instanceId);
    return Ok({rows: items, position, confirmedOffsetMs, origin});
  }

  private readDirectFor(reason: string): void {
    this.readDirectUntilMs = performance.now() + DIRECT_READ_PERIOD_MS;
    this.directReason = reason;
  }

  /** Logs when the feed changes between leaders and the table. */
  private recordSource(source: string | undefined): void {
    if (source === this.source && this.hasSource) return;
    this.hasSource = true;
    this.source = source;
    const {name, logger} = this.options;
    const reason = toLogText(this.directReason);
    logger?.info('feed source', {
      feed: name,
      source: source ?? 'store',
      ...(source === undefined ? {reason} : {}),
    });
  }

  /** Returns undefined for a row without a key. */
  private parseRow(value: unknown): FeedRow<Item> | undefined {
    const row = relayRowSchema.safeParse(value);
    if (!row.success) {
      this.logRow(undefined, row.error);
      return undefined;
    }
    const {key, item} = row.data;
    // The leader has logged rows of the table that name no item.
    if (item === undefined || item === null) return {key, item: undefined};
    const parsed = this.options.itemSchema.safeParse(item);
    if (!parsed.success) {
      this.logRow(key, parsed.error);
      return {key, item: undefined};
    }
    this.loggedRows.delete(key);
    return {key, item: parsed.data};
  }

  private logRow(key: string | undefined, error: z.ZodError): void {
    if (this.loggedRows.has(key)) return;
    if (this.loggedRows.size >= MAX_LOGGED_ROWS) this.loggedRows.clear();
    this.loggedRows.add(key);
    const {name, logger} = this.options;
    logger?.warn('relayed row not taken', {
      feed: name,
      ...(key === undefined ? {} : {entry: toLogText(key, MAX_KEY_CHARS)}),
      reason: describeError(error),
    });
  }

  /** Logs the first of several pages in a row that cannot be read. */
  private logPage(leader: string, error: z.ZodError): void {
    if (this.loggedPage) return;
    this.loggedPage = true;
    const {name, logger} = this.options;
    const fields = {feed: name, leader, reason: describeError(error)};
    logger?.warn('relayed page not taken', fields);
  }
}

function describeError(error: z.ZodError): string {
  const issue = error.issues[0];
  return toLogText(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
}
