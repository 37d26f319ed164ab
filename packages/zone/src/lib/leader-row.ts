/**
 * Rows of the table by which the instances of a fleet find each other: one row
 * names the leading instance of each availability zone, and one holds the
 * secret by which instances prove to each other that they belong together.
 */
import type {TableRow} from '@fireflytrack/platform';
import {z} from 'zod';

const LEADER_PREFIX = 'leader/';
export const SECRET_KEY = 'secret';

export const leaderSchema = z.object({
  instanceId: z.string().min(1),
  /** Tells the lives of an instance apart. */
  lifeId: z.string().min(1),
  availabilityZone: z.string().min(1),
  region: z.string().min(1),
  host: z.string().min(1),
  port: z.number().int().min(1).max(65535),
  /** Instances of the zone as the leader sees them, itself included. */
  instances: z.number().int().min(1).default(1),
});
export type Leader = z.infer<typeof leaderSchema>;

export interface LeaderRow {
  leader: Leader;
  version: number;
}

export function leaderKeyOf(availabilityZone: string): string {
  return LEADER_PREFIX + availabilityZone;
}

/** The leaders that rows name, by zone; rows that name none are left out. */
export function leadersOf(rows: readonly TableRow[]): Map<string, LeaderRow> {
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

/** The version of a zone's row, whatever it holds; 0 without one. */
export function versionOf(rows: readonly TableRow[], key: string): number {
  return rows.find(row => row.key === key)?.version ?? 0;
}
