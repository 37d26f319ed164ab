/** A backend server as it reports itself. */
import {z} from 'zod';

export const discoveredServerSchema = z.object({
  serverId: z.string().min(1),
  /** Unix time of the start; tells a restart under the same id. */
  startedAtMs: z.number().int().nonnegative(),
  host: z.string().min(1),
  port: z.number().int().min(1).max(65535),
  service: z.string().min(1),
  availabilityZone: z.string().min(1),
  softwareVersion: z.string(),
  /** Requests that it runs at the same time. */
  slots: z.number().int().positive(),
  state: z.enum(['ready', 'draining']),
  /** How much longer it is slow after its start, when it reported. */
  warmupLeftMs: z.number().nonnegative(),
});
export type DiscoveredServer = z.infer<typeof discoveredServerSchema>;

/** Whether both reports come from the same life of a server. */
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
