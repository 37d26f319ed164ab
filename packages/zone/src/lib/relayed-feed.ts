/**
 * A feed that is read from the zone leader while one is reachable, and directly
 * from the table otherwise. Both sources use the table's positions, so a reader
 * can switch between them without reading all rows again.
 */
import type {
  ChangeFeed,
  FeedError,
  FeedPage,
  FeedPosition,
} from '@fireflytrack/discovery';
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {PeerNetwork} from '@fireflytrack/wire';
import type {z} from 'zod';
import {FeedRelay, relayResponseSchema} from './feed-relay.js';
import type {RelayRequest} from './feed-relay.js';
import type {ZoneElection} from './zone-election.js';

export interface RelayedFeedOptions<Item> {
  name: string;
  direct: ChangeFeed<Item>;
  itemSchema: z.ZodType<Item>;
  /** Longest time that the leader may hold a request open, in milliseconds. */
  relayWaitMs: number;
}

/**
 * Access to the zone leader; available once the instance has joined the zone.
 */
export interface RelayAccess {
  network: PeerNetwork;
  election: ZoneElection;
}

// Added to the requested wait. A leader responds within milliseconds after it;
// a slow leader must not delay changes for longer than the table would.
const RELAY_TIMEOUT_MARGIN_MS = 400;
// After a failed request to the leader, the table is read for this long.
const DIRECT_READ_PERIOD_MS = 2000;

export class RelayedFeed<Item> implements ChangeFeed<Item> {
  private access: RelayAccess | undefined;
  private readDirectUntilMs = 0;

  private constructor(private readonly options: RelayedFeedOptions<Item>) {}

  static create<Item>(options: RelayedFeedOptions<Item>): RelayedFeed<Item> {
    return new RelayedFeed(options);
  }

  /** Starts sending reads to the zone leader first. */
  useRelay(access: RelayAccess): void {
    this.access = access;
  }

  async readAll(minEra: number): Promise<Result<FeedPage<Item>, FeedError>> {
    const relayed = await this.requestFromLeader({era: minEra, waitMs: 0});
    return relayed ?? this.options.direct.readAll(minEra);
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
    return relayed ?? this.options.direct.changesAfter(position, waitMs);
  }

  close(): Promise<void> {
    return this.options.direct.close();
  }

  /** Returns undefined if the table has to be read instead. */
  private async requestFromLeader(
    request: RelayRequest,
  ): Promise<Result<FeedPage<Item>, FeedError> | undefined> {
    const leader = this.access?.election.reachableLeader;
    if (!this.access || !leader) return undefined;
    if (performance.now() < this.readDirectUntilMs) return undefined;
    const sentAtMs = performance.now();
    const response = await this.access.network.request(
      leader.instanceId,
      FeedRelay.requestKind(this.options.name),
      request,
      request.waitMs + RELAY_TIMEOUT_MARGIN_MS,
    );
    const parsed = response.ok
      ? relayResponseSchema.safeParse(response.val)
      : response;
    if (!('success' in parsed) || !parsed.success) {
      this.readDirectUntilMs = performance.now() + DIRECT_READ_PERIOD_MS;
      return undefined;
    }
    if (parsed.data.kind === 'history-gone') {
      const message = 'the leader does not have it';
      return Err({kind: 'history-gone', message});
    }
    const {rows, era, revision, ageMs} = parsed.data;
    const elapsedMs = performance.now() - sentAtMs;
    const timedOut = rows.length === 0 && elapsedMs >= request.waitMs;
    const confirmedOffsetMs = (timedOut ? request.waitMs : 0) - ageMs;
    const items = rows.map(({key, item}) => ({
      key,
      item: this.parseItem(item),
    }));
    const position = {era, revision};
    return Ok({rows: items, position, confirmedOffsetMs});
  }

  private parseItem(item: unknown): Item | undefined {
    const parsed = this.options.itemSchema.safeParse(item);
    return parsed.success ? parsed.data : undefined;
  }
}
