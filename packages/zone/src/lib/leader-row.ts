/**
 * Table rows that the instances of a fleet use for discovery: one row per
 * availability zone names its leader, and one row holds the secret with which
 * instances authenticate to each other.
 */
import type {TableRow} from '@fireflytrack/platform';
import {z} from 'zod';

const LEADER_PREFIX = 'leader/';
export const FLEET_SECRET_KEY = 'secret';

// As in the peers' identities.
const MAX_ID_CHARS = 200;
const MAX_HOST_CHARS = 253;
const MAX_PORT = 65_535;
/** Far above the largest planned fleet (7,000 instances). */
export const MAX_INSTANCES = 100_000;

const textSchema = z
  .string()
  .min(1)
  .max(MAX_ID_CHARS)
  .refine(text => !/\p{Cc}/u.test(text), 'has control characters');

export const leaderSchema = z.object({
  instanceId: textSchema,
  /** Identifies one run of the instance; each restart gets a new id. */
  lifeId: textSchema,
  availabilityZone: textSchema,
  region: textSchema,
  host: z
    .string()
    .min(1)
    .max(MAX_HOST_CHARS)
    .regex(/^[\w.:%-]+$/),
  port: z.number().int().min(1).max(MAX_PORT),
  /** Processor time that the instance has, in cores; absent if unknown. */
  processorShare: z.number().positive().optional().catch(undefined),
  /**
   * Number of instances in the zone as seen by the leader, including itself.
   */
  instances: z.number().int().min(1).max(MAX_INSTANCES).default(1),
});
export type Leader = z.infer<typeof leaderSchema>;

export interface LeaderRow {
  leader: Leader;
  version: number;
}

export function leaderKey(availabilityZone: string): string {
  return LEADER_PREFIX + availabilityZone;
}

/** Returns the leaders by availability zone; skips rows that are not valid. */
export function parseLeaders(
  rows: readonly TableRow[],
): Map<string, LeaderRow> {
  const leaders = new Map<string, LeaderRow>();
  for (const row of rows) {
    const leader = parseLeader(row);
    if (!leader) continue;
    leaders.set(leader.availabilityZone, {leader, version: row.version});
  }
  return leaders;
}

/** Returns the rows in the place of a leader that name none. */
export function findInvalidLeaders(rows: readonly TableRow[]): TableRow[] {
  return rows.filter(row => isLeaderKey(row.key) && !parseLeader(row));
}

function parseLeader(row: TableRow): Leader | undefined {
  if (!isLeaderKey(row.key)) return undefined;
  const leader = leaderSchema.safeParse(row.value);
  if (!leader.success) return undefined;
  // A row in the place of another zone must not hide that zone's leader.
  const {availabilityZone} = leader.data;
  return row.key === leaderKey(availabilityZone) ? leader.data : undefined;
}

export function isLeaderKey(key: string): boolean {
  return key.startsWith(LEADER_PREFIX);
}

/**
 * Returns the version of the row with `key`, even if its value is not valid; 0
 * if it is missing.
 */
export function findRowVersion(rows: readonly TableRow[], key: string): number {
  return rows.find(row => row.key === key)?.version ?? 0;
}
