/**
 * Serves the leader rows that one leader has read from the table to the other
 * leaders, so that the reads do not grow with the number of zones. The secret of
 * the fleet is not passed on.
 */
import type {TableRow} from '@fireflytrack/platform';
import type {PeerNetwork} from '@fireflytrack/wire';
import {z} from 'zod';
import {isLeaderKey} from './leader-row.js';

const ROWS_KIND = 'zone.leader-rows';
const RESPONSE_TIMEOUT_MS = 400;
const MAX_ROWS = 1000;
const MAX_KEY_CHARS = 200;

const rowSchema = z.object({
  key: z.string().max(MAX_KEY_CHARS).refine(isLeaderKey),
  version: z.number().int().nonnegative(),
  value: z.unknown(),
});
const requestSchema = z.object({
  /** Sum of the versions that the asking leader has; absent if it has none. */
  versions: z.number().int().nonnegative().optional(),
  era: z.number().int().nonnegative(),
});
const responseSchema = z.object({
  /** Absent if there is nothing newer. */
  rows: z.array(rowSchema).max(MAX_ROWS).optional(),
  era: z.number().int().nonnegative(),
  ageMs: z.number().nonnegative(),
});
type RowsResponse = z.infer<typeof responseSchema>;

export interface LeaderRowRelayOptions {
  network: PeerNetwork;
  /** Rows are used up to this age, in milliseconds. */
  maxAgeMs: number;
}

export class LeaderRowRelay {
  private rows: TableRow[] = [];
  private era = 0;
  private readAtMs = -Infinity;

  private constructor(private readonly options: LeaderRowRelayOptions) {
    options.network.onRequest(ROWS_KIND, (_from, payload): RowsResponse => {
      const known = requestSchema.parse(payload);
      const ageMs = performance.now() - this.readAtMs;
      if (ageMs > options.maxAgeMs) throw new Error('no fresh leader rows');
      const {era} = this;
      const isUnchanged =
        known.era === era && known.versions === sumVersions(this.rows);
      return isUnchanged ? {era, ageMs} : {rows: this.rows, era, ageMs};
    });
  }

  static create(options: LeaderRowRelayOptions): LeaderRowRelay {
    return new LeaderRowRelay(options);
  }

  /** Stores rows of the table that were requested at `readAtMs`. */
  store(rows: readonly TableRow[], era: number, readAtMs: number): void {
    this.rows = rows.filter(({key}) => isLeaderKey(key));
    this.era = era;
    this.readAtMs = readAtMs;
  }

  /**
   * Requests the rows of the leader `instanceId`. Returns undefined if they are
   * of another era, too old, or older than those that were stored here.
   */
  async fetch(
    instanceId: string,
    era: number,
  ): Promise<readonly TableRow[] | undefined> {
    const {network, maxAgeMs} = this.options;
    // Versions of different eras can't be compared.
    const known = this.era === era ? this.rows : [];
    const versions = known.length > 0 ? sumVersions(known) : undefined;
    const sentAtMs = performance.now();
    const response = await network.request(
      instanceId,
      ROWS_KIND,
      {versions, era},
      RESPONSE_TIMEOUT_MS,
    );
    // Leaders of earlier builds don't know the request.
    const parsed = responseSchema.safeParse(
      response.ok ? response.val : undefined,
    );
    if (!parsed.success) return undefined;
    const {rows = known, ageMs} = parsed.data;
    const oldestMs = ageMs + performance.now() - sentAtMs;
    if (parsed.data.era !== era || oldestMs > maxAgeMs) return undefined;
    if (known.some(row => isOlder(rows, row))) return undefined;
    this.rows = [...rows];
    this.era = era;
    return rows;
  }
}

/** Grows whenever a row is written, since the version of each row only rises. */
function sumVersions(rows: readonly TableRow[]): number {
  return rows.reduce((sum, {version}) => sum + version, 0);
}

function isOlder(rows: readonly TableRow[], known: TableRow): boolean {
  const row = rows.find(({key}) => key === known.key);
  return row === undefined || row.version < known.version;
}
