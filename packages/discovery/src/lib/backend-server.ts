/** The self-reported description of a backend server. */
import {z} from 'zod';

export const discoveredServerSchema = z.object({
  serverId: z.string().min(1),
  /** Unix time of the start; differs after a restart under the same id. */
  startedAtMs: z.number().int().nonnegative(),
  host: z.string().min(1),
  port: z.number().int().min(1).max(65535),
  service: z.string().min(1),
  availabilityZone: z.string().min(1),
  softwareVersion: z.string(),
  /** Number of requests that it processes concurrently. */
  slots: z.number().int().positive(),
  state: z.enum(['ready', 'draining']),
  /** Remaining warm-up time after its start, as of this report. */
  warmupLeftMs: z.number().nonnegative(),
  /** Increases with each report of one run. */
  reportNumber: z.number().default(0),
});
export type DiscoveredServer = z.infer<typeof discoveredServerSchema>;

/** Whether both reports come from the same run of a server. */
export function isSameIncarnation(
  first: DiscoveredServer,
  second: DiscoveredServer,
): boolean {
  return (
    first.serverId === second.serverId &&
    first.startedAtMs === second.startedAtMs &&
    first.host === second.host &&
    first.port === second.port
  );
}
