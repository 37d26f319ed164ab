/**
 * A feed that is read from the leader of the zone while there is one, and from
 * the table itself otherwise. Revisions are those of the table in both cases,
 * so that a follower goes on where it was.
 */
import type {ChangeFeed, FeedError, FeedPage} from '@fireflytrack/discovery';
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {PeerNetwork} from '@fireflytrack/wire';
import type {z} from 'zod';
import {FeedRelay, relayAnswerSchema} from './feed-relay.js';
import type {RelayRequest} from './feed-relay.js';
import type {ZoneElection} from './zone-election.js';

export interface RelayedFeedOptions<Item> {
  name: string;
  direct: ChangeFeed<Item>;
  itemSchema: z.ZodType<Item>;
  /** Longest wait of a call to the leader. */
  relayWaitMs: number;
}

/** Where the leader is asked; known once the zone was joined. */
export interface RelayAccess {
  network: PeerNetwork;
  election: ZoneElection;
}

// Beyond the wait, a leader answers within milliseconds; a slow one must not
// hold news up for longer than the table would.
const RELAY_TIMEOUT_MS = 400;
// After the leader failed to answer, the table is read for this long.
const DIRECT_PERIOD_MS = 2000;

export class RelayedFeed<Item> implements ChangeFeed<Item> {
  private access: RelayAccess | undefined;
  private directUntilMs = 0;

  private constructor(private readonly options: RelayedFeedOptions<Item>) {}

  static create<Item>(options: RelayedFeedOptions<Item>): RelayedFeed<Item> {
    return new RelayedFeed(options);
  }

  /** From now on the leader is asked first. */
  useRelay(access: RelayAccess): void {
    this.access = access;
  }

  async readAll(): Promise<Result<FeedPage<Item>, FeedError>> {
    const relayed = await this.ask({waitMs: 0});
    return relayed ?? this.options.direct.readAll();
  }

  async changesAfter(
    revision: number,
    waitMs: number,
  ): Promise<Result<FeedPage<Item>, FeedError>> {
    const relayWaitMs = Math.min(waitMs, this.options.relayWaitMs);
    const relayed = await this.ask({after: revision, waitMs: relayWaitMs});
    return relayed ?? this.options.direct.changesAfter(revision, waitMs);
  }

  close(): Promise<void> {
    return this.options.direct.close();
  }

  /** Undefined when the table has to be read. */
  private async ask(
    request: RelayRequest,
  ): Promise<Result<FeedPage<Item>, FeedError> | undefined> {
    const leader = this.access?.election.reachableLeader;
    if (!this.access || !leader) return undefined;
    if (performance.now() < this.directUntilMs) return undefined;
    const sentAtMs = performance.now();
    const answer = await this.access.network.request(
      leader.instanceId,
      FeedRelay.requestKind(this.options.name),
      request,
      request.waitMs + RELAY_TIMEOUT_MS,
    );
    const parsed = answer.ok ? relayAnswerSchema.safeParse(answer.val) : answer;
    if (!('success' in parsed) || !parsed.success) {
      this.directUntilMs = performance.now() + DIRECT_PERIOD_MS;
      return undefined;
    }
    if (parsed.data.kind === 'history-gone') {
      return Err({kind: 'history-gone', message: 'leader began later'});
    }
    const {rows, revision, ageMs} = parsed.data;
    const elapsedMs = performance.now() - sentAtMs;
    const waited = rows.length === 0 && elapsedMs >= request.waitMs;
    const confirmedOffsetMs = (waited ? request.waitMs : 0) - ageMs;
    const items = rows.map(({key, item}) => ({key, item: this.itemOf(item)}));
    return Ok({rows: items, revision, confirmedOffsetMs});
  }

  private itemOf(item: unknown): Item | undefined {
    const parsed = this.options.itemSchema.safeParse(item);
    return parsed.success ? parsed.data : undefined;
  }
}
