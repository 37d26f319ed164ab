/**
 * Passes the changes of a feed on to the other instances of a zone, so that
 * only the leader calls the table.
 *
 * Every instance keeps the rows that it applied, since it may lead at any
 * time; it answers only while it leads and its own feed is alive.
 */
import type {FeedPage, FeedRow} from '@fireflytrack/discovery';
import type {PeerNetwork} from '@fireflytrack/wire';
import {z} from 'zod';
import type {ZoneElection} from './zone-election.js';

export interface FeedRelayOptions {
  /** Names the feed among those of the process. */
  name: string;
  /** Oldest confirmation with which pages are still passed on. */
  maxAgeMs: number;
}

/** How old the confirmation of the rows is that this instance holds. */
export type AgeReader = () => number;

export const relayRequestSchema = z.object({
  /** Absent for all rows. */
  after: z.number().optional(),
  waitMs: z.number().nonnegative(),
});
export type RelayRequest = z.infer<typeof relayRequestSchema>;

export const relayAnswerSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('page'),
    rows: z.array(z.object({key: z.string(), item: z.unknown()})),
    revision: z.number(),
    /** Age of the confirmation when the answer was made. */
    ageMs: z.number(),
  }),
  z.object({kind: z.literal('history-gone')}),
]);
export type RelayAnswer = z.infer<typeof relayAnswerSchema>;

// Removed rows are remembered for members that follow; older ones are rarely
// asked for.
const MAX_TOMBSTONES = 2000;

interface KeptRow<Item> {
  item: Item | undefined;
  revision: number;
}

export class FeedRelay<Item> {
  private readonly rows = new Map<string, KeptRow<Item>>();
  private revision = -1;
  /** Changes since this revision are all kept. */
  private completeSince = Infinity;
  private readonly waiting = new Set<() => void>();

  private constructor(
    private readonly options: FeedRelayOptions,
    private readonly ageMs: AgeReader,
  ) {}

  static create<Item>(
    options: FeedRelayOptions,
    ageMs: AgeReader,
  ): FeedRelay<Item> {
    return new FeedRelay<Item>(options, ageMs);
  }

  static requestKind(name: string): string {
    return `relay.${name}`;
  }

  /** Answers the members of the zone from now on. */
  serve(network: PeerNetwork, election: ZoneElection): void {
    const kind = FeedRelay.requestKind(this.options.name);
    network.onRequest(kind, (_from, payload) => {
      if (!election.isLeader) throw new Error('does not lead the zone');
      return this.answer(relayRequestSchema.parse(payload));
    });
  }

  /** Keeps what the own feed brought. */
  keep(page: FeedPage<Item>, complete: boolean): void {
    if (complete) {
      this.rows.clear();
      this.completeSince = page.revision;
    }
    this.revision = Math.max(this.revision, page.revision);
    for (const {key, item} of page.rows) this.keepRow(key, item, page.revision);
    if (page.rows.length === 0) return;
    for (const wake of [...this.waiting]) wake();
  }

  private keepRow(key: string, item: Item | undefined, revision: number): void {
    this.rows.delete(key);
    this.rows.set(key, {item, revision});
    if (this.rows.size <= MAX_TOMBSTONES) return;
    for (const [old, row] of this.rows) {
      if (row.item !== undefined) continue;
      this.rows.delete(old);
      this.completeSince = Math.max(this.completeSince, row.revision);
      return;
    }
  }

  private async answer(request: RelayRequest): Promise<RelayAnswer> {
    const {after, waitMs} = request;
    this.requireFresh();
    if (after !== undefined && after < this.completeSince) {
      return {kind: 'history-gone'};
    }
    if (after !== undefined && this.changesAfter(after).length === 0) {
      await this.change(waitMs);
      this.requireFresh();
    }
    const rows = this.changesAfter(after ?? -1);
    // A member that follows from a newer page must not go back.
    const revision = Math.max(this.revision, after ?? -1);
    return {kind: 'page', rows, revision, ageMs: this.ageMs()};
  }

  private requireFresh(): void {
    if (this.revision >= 0 && this.ageMs() <= this.options.maxAgeMs) return;
    throw new Error('the own feed is lost');
  }

  private changesAfter(after: number): FeedRow<Item>[] {
    const changed: FeedRow<Item>[] = [];
    for (const [key, {item, revision}] of this.rows) {
      if (revision > after) changed.push({key, item});
    }
    return changed;
  }

  private change(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.waiting.add(wake);
    });
  }
}
