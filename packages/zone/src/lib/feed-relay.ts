/**
 * Serves the changes of a feed to the other instances of a zone, and to leaders of
 * other zones, so that one leader reads the table for all.
 *
 * A request is held until there are changes or the leader's own feed was confirmed
 * again, so that ages do not add up from one instance to the next.
 *
 * Every instance stores the rows that it applied, because it may become leader
 * at any time. It serves requests only while it is the leader and its own feed
 * is up to date.
 */
import type {FeedPage, FeedPosition, FeedRow} from '@fireflytrack/discovery';
import type {PeerNetwork} from '@fireflytrack/wire';
import {z} from 'zod';
import type {ZoneElection} from './zone-election.js';

export interface FeedRelayOptions {
  /** Name of the feed, unique within the process. */
  name: string;
  /** Pages are served only while the last confirmation is at most this old. */
  maxAgeMs: number;
}

/** Returns the age in milliseconds of the last confirmation of the rows. */
export type AgeReader = () => number;

// Longest wait that a member may ask for; timers hold no more than 24 days.
const MAX_WAIT_MS = 60_000;
// A leader serves no page with an older confirmation.
const MAX_AGE_MS = 60_000;
// Rounding may put a confirmation that just arrived into the future.
const MIN_AGE_MS = -1;

const positionNumberSchema = z.number().int().nonnegative();

export const relayRequestSchema = z.object({
  /** Last revision that the member has; absent to request all rows. */
  after: positionNumberSchema.optional(),
  /**
   * Latest era of the table that the member knows, which `after` belongs to;
   * absent in requests of earlier builds.
   */
  era: positionNumberSchema.optional(),
  waitMs: z.number().nonnegative().max(MAX_WAIT_MS),
});
export type RelayRequest = z.infer<typeof relayRequestSchema>;

export const relayRowSchema = z.object({key: z.string(), item: z.unknown()});

export const relayResponseSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('page'),
    /** Each is parsed by itself, so that an odd one costs only itself. */
    rows: z.array(z.unknown()),
    era: positionNumberSchema,
    revision: positionNumberSchema,
    /** Age of the confirmation when the response was created. */
    ageMs: z.number().min(MIN_AGE_MS).max(MAX_AGE_MS),
    /** How long the leader held the request; absent from earlier builds. */
    heldMs: z.number().nonnegative().max(MAX_WAIT_MS).optional(),
  }),
  z.object({kind: z.literal('history-gone')}),
]);
export type RelayResponse = z.infer<typeof relayResponseSchema>;
export type RelayPage = Extract<RelayResponse, {kind: 'page'}>;

// Removed rows are kept as tombstones for members that read changes; older
// ones are rarely requested.
const MAX_TOMBSTONES = 2000;

interface StoredRow<Item> {
  item: Item | undefined;
  revision: number;
}

export class FeedRelay<Item> {
  private readonly rows = new Map<string, StoredRow<Item>>();
  private position: FeedPosition = {era: 0, revision: -1};
  /** All changes of the era after this revision are available. */
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

  /** Starts serving requests. */
  serve(network: PeerNetwork, election: Pick<ZoneElection, 'isLeader'>): void {
    const kind = FeedRelay.requestKind(this.options.name);
    network.onRequest(kind, (_from, payload) => {
      if (!election.isLeader) throw new Error('does not lead the zone');
      return this.createResponse(relayRequestSchema.parse(payload));
    });
  }

  /** Stores a page that this instance's own feed delivered. */
  storePage(page: FeedPage<Item>, complete: boolean): void {
    const {revision} = page.position;
    if (complete) {
      this.rows.clear();
      this.completeSince = revision;
    }
    // Revisions may be lower than before only in another era, which begins with
    // a complete page.
    this.position = page.position;
    for (const {key, item} of page.rows) this.storeRow(key, item, revision);
    this.announceConfirmation();
  }

  /** Answers the requests that wait, because the feed was confirmed again. */
  announceConfirmation(): void {
    for (const wake of [...this.waiting]) wake();
  }

  private storeRow(
    key: string,
    item: Item | undefined,
    revision: number,
  ): void {
    this.rows.delete(key);
    this.rows.set(key, {item, revision});
    if (this.rows.size <= MAX_TOMBSTONES) return;
    for (const [oldKey, row] of this.rows) {
      if (row.item !== undefined) continue;
      this.rows.delete(oldKey);
      this.completeSince = Math.max(this.completeSince, row.revision);
      return;
    }
  }

  private async createResponse(request: RelayRequest): Promise<RelayResponse> {
    const {after, waitMs} = request;
    const receivedAtMs = performance.now();
    // A leader that has just started will be confirmed in a moment.
    const isEraKnown = (request.era ?? 0) <= this.position.era;
    if (after === undefined && isEraKnown && !this.isFresh(request)) {
      await this.waitForChange(waitMs);
    }
    this.assertFresh(request);
    if (this.hasHistory(request) && !this.hasChanges(request)) {
      await this.waitForChange(waitMs);
      this.assertFresh(request);
    }
    if (!this.hasHistory(request)) return {kind: 'history-gone'};
    const rows = this.changesAfter(after ?? -1);
    const {era} = this.position;
    // A member that already has a newer revision must not be set back.
    const revision = Math.max(this.position.revision, after ?? -1);
    const heldMs = performance.now() - receivedAtMs;
    return {kind: 'page', rows, era, revision, ageMs: this.ageMs(), heldMs};
  }

  private assertFresh(request: RelayRequest): void {
    if (this.isFresh(request)) return;
    throw new Error('the feed of this instance is out of date');
  }

  private isFresh({era}: RelayRequest): boolean {
    const isKnown =
      this.position.revision >= 0 && (era ?? 0) <= this.position.era;
    return isKnown && this.ageMs() <= this.options.maxAgeMs;
  }

  /** Whether the changes after the member's position are stored. */
  private hasHistory({after, era}: RelayRequest): boolean {
    if (after === undefined) return true;
    const isSameEra = era === undefined || era === this.position.era;
    return isSameEra && after >= this.completeSince;
  }

  private hasChanges({after}: RelayRequest): boolean {
    return after === undefined || this.changesAfter(after).length > 0;
  }

  private changesAfter(after: number): FeedRow<Item>[] {
    const changed: FeedRow<Item>[] = [];
    for (const [key, {item, revision}] of this.rows) {
      if (revision > after) changed.push({key, item});
    }
    return changed;
  }

  private waitForChange(waitMs: number): Promise<void> {
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
