/**
 * A feed that is read from a leader while one is reachable, and directly from the
 * table otherwise. Both sources use the table's positions, so a reader
 * can switch between them without reading all rows again.
 *
 * A leader may have lost the table, be silent or be slow without this instance
 * knowing. The age of the last confirmation decides, therefore: at a limit the
 * table is read, and no request to a leader is held beyond it.
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
import type {
  AgeReader,
  RelayPage,
  RelayRequest,
  RelayResponse,
} from './feed-relay.js';
import type {FeedLimits} from './feed-timing.js';
import type {Leader} from './leader-row.js';
import type {ZoneElection} from './zone-election.js';

export interface RelayedFeedOptions<Item> {
  name: string;
  direct: ChangeFeed<Item>;
  itemSchema: z.ZodType<Item>;
  timing: Pick<FeedLimits, 'waitMs' | 'drawLimitMs'>;
  /** Age of the last confirmation that this feed returned. */
  ageMs: AgeReader;
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

const FIRST_READ_TIMEOUT_MS = 900;
// A leader is asked to respond this long before the age reaches its limit.
const RESPONSE_MARGIN_MS = 50;
// A request that could be held for less is not sent to a leader.
const MIN_HOLD_MS = 20;
// Longest request to a leader after the table was read in vain.
const RETRY_TIMEOUT_MS = 150;
// After a failed request to the leader, the table is read for this long.
const DIRECT_READ_PERIOD_MS = 2000;
// Longest key of a table; only a faulty leader sends a longer one.
const MAX_KEY_CHARS = 200;
// Bounds the memory; rows beyond it are logged again.
const MAX_LOGGED_ROWS = 1000;

export class RelayedFeed<Item> implements ChangeFeed<Item> {
  private access: RelayAccess | undefined;
  private readDirectUntilMs = 0;
  /** Whether the last read of the table failed. */
  private hasTableFailed = false;
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
    const relayed = await this.requestFromLeader({era: minEra});
    return relayed ?? this.readTable(() => this.options.direct.readAll(minEra));
  }

  async changesAfter(
    position: FeedPosition,
    waitMs: number,
  ): Promise<Result<FeedPage<Item>, FeedError>> {
    const {revision: after, era} = position;
    const relayed = await this.requestFromLeader({after, era});
    if (relayed) return relayed;
    const {direct, timing, ageMs} = this.options;
    const leftMs = Math.max(0, Math.round(timing.waitMs - ageMs()));
    return this.readTable(() =>
      direct.changesAfter(position, Math.min(waitMs, leftMs)),
    );
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

  private async readTable(
    read: () => Promise<Result<FeedPage<Item>, FeedError>>,
  ): Promise<Result<FeedPage<Item>, FeedError>> {
    this.recordSource(undefined);
    const page = await read();
    this.hasTableFailed = page.err && page.val.kind === 'unavailable';
    return page;
  }

  /** Returns undefined if the table has to be read instead. */
  private async requestFromLeader(
    known: Omit<RelayRequest, 'waitMs'>,
  ): Promise<Result<FeedPage<Item>, FeedError> | undefined> {
    const leader = this.access?.election.feedSource;
    if (!this.access || !leader) {
      this.directReason = 'no leader is known';
      return undefined;
    }
    const {hasTableFailed} = this;
    const readsDirect = performance.now() < this.readDirectUntilMs;
    if (readsDirect && !hasTableFailed) return undefined;
    const timeoutMs = this.chooseTimeoutMs(this.access.election.isLeader);
    if (timeoutMs === undefined) {
      this.readDirectFor(`leader ${leader.instanceId}: confirmation is old`);
      return undefined;
    }
    this.hasTableFailed = false;
    const startedAtMs = performance.now();
    const waits = !hasTableFailed;
    const response = await this.askLeader(leader, known, {timeoutMs, waits});
    if (response.err) {
      this.readDirectFor(`leader ${leader.instanceId}: ${response.val}`);
      return undefined;
    }
    if (response.val.kind === 'history-gone') {
      const message = 'the leader does not have it';
      return Err({kind: 'history-gone', message});
    }
    const elapsedMs = performance.now() - startedAtMs;
    const page = this.toFeedPage(leader, response.val);
    const ageMs = elapsedMs - page.confirmedOffsetMs;
    const isNews = page.rows.length > 0 || ageMs < this.options.ageMs();
    // A page without news must not end an outage.
    if (hasTableFailed && !isNews) return undefined;
    this.recordSource(leader.instanceId);
    return Ok(page);
  }

  /**
   * Returns how long a request to a leader may take; undefined if the table has
   * to be read now.
   */
  private chooseTimeoutMs(isLeader: boolean): number | undefined {
    const {timing, ageMs: readAgeMs} = this.options;
    const ageMs = readAgeMs();
    if (ageMs === Infinity) return FIRST_READ_TIMEOUT_MS;
    const leftMs = timing.drawLimitMs(isLeader) - ageMs;
    if (leftMs >= RESPONSE_MARGIN_MS + MIN_HOLD_MS) return leftMs;
    return this.hasTableFailed ? RETRY_TIMEOUT_MS : undefined;
  }

  /** Returns a reason if the leader gives no page that can be read. */
  private async askLeader(
    leader: Leader,
    known: Omit<RelayRequest, 'waitMs'>,
    {timeoutMs, waits}: {timeoutMs: number; waits: boolean},
  ): Promise<Result<RelayResponse, string>> {
    const {network, election} = this.access!;
    const giveUpAtMs = performance.now() + timeoutMs;
    const connectMs = Math.min(CONNECT_TIMEOUT_MS, timeoutMs);
    if (!(await election.connect(leader, connectMs))) {
      return Err('is not reached');
    }
    const leftMs = giveUpAtMs - performance.now();
    const longestMs = known.after === undefined ? FIRST_READ_WAIT_MS : Infinity;
    const holdMs = Math.min(longestMs, leftMs - RESPONSE_MARGIN_MS);
    const waitMs = waits ? Math.max(0, holdMs) : 0;
    const sentAtMs = performance.now();
    const response = await network.request(
      leader.instanceId,
      FeedRelay.requestKind(this.options.name),
      {...known, waitMs},
      leftMs,
    );
    if (response.err) return Err(response.val.message);
    const parsed = relayResponseSchema.safeParse(response.val);
    if (!parsed.success) {
      this.logPage(leader.instanceId, parsed.error);
      return Err('odd page');
    }
    this.loggedPage = false;
    if (parsed.data.kind !== 'page') return Ok(parsed.data);
    const elapsedMs = performance.now() - sentAtMs;
    const timedOut = parsed.data.rows.length === 0 && elapsedMs >= waitMs;
    // A leader of an earlier build does not say how long it held the request.
    const {heldMs = timedOut ? waitMs : 0} = parsed.data;
    return Ok({...parsed.data, heldMs});
  }

  private toFeedPage(
    {instanceId: leader}: Leader,
    page: RelayPage,
  ): FeedPage<Item> {
    const {rows, era, revision, ageMs, heldMs = 0} = page;
    return {
      rows: rows.flatMap(row => this.parseRow(row) ?? []),
      position: {era, revision},
      confirmedOffsetMs: heldMs - Math.max(0, ageMs),
      origin: {leader, ageMs, heldMs},
    };
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
