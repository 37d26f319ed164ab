/**
 * Table rows that the instances of a fleet use for discovery: one row per
 * availability zone names its leader, and one row holds the secret with which
 * instances authenticate to each other.
 */
import type {TableRow} from '@fireflytrack/platform';
import {z} from 'zod';

const LEADER_PREFIX = 'leader/';
export const FLEET_SECRET_KEY = 'secret';

export const leaderSchema = z.object({
  instanceId: z.string().min(1),
  /** Identifies one run of the instance; each restart gets a new id. */
  lifeId: z.string().min(1),
  availabilityZone: z.string().min(1),
  region: z.string().min(1),
  host: z.string().min(1),
  port: z.number().int().min(1).max(65535),
  /**
   * Number of instances in the zone as seen by the leader, including itself.
   */
  instances: z.number().int().min(1).default(1),
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
    if (!row.key.startsWith(LEADER_PREFIX)) continue;
    const leader = leaderSchema.safeParse(row.value);
    if (!leader.success) continue;
    const zone = leader.data.availabilityZone;
    leaders.set(zone, {leader: leader.data, version: row.version});
  }
  return leaders;
}

/**
 * Returns the version of the row with `key`, even if its value is not valid; 0
 * if it is missing.
 */
export function findRowVersion(rows: readonly TableRow[], key: string): number {
  return rows.find(row => row.key === key)?.version ?? 0;
}
