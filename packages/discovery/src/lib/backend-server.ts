/** The self-reported description of a backend server. */
import {isIP} from 'node:net';
import {z} from 'zod';

// Longest key of the table that lists the servers.
const MAX_ID_CHARS = 200;
// Far above any name; leaders relay all servers in one frame of 1 MiB.
const MAX_TEXT_CHARS = 500;
// Longest name that DNS can resolve.
const MAX_HOST_CHARS = 253;
const MAX_PORT = 65_535;
// Latest time that a Date can represent.
const MAX_START_MS = 8.64e15;
// Far above the requests that one process can handle at once.
const MAX_SLOTS = 1_000_000;
// Servers warm up for seconds. One that would take a day names no usable time.
const MAX_WARMUP_MS = 86_400_000;

// Requests carry the id in a header.
const HEADER_VALUE = /^[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?$/;
const CONTROL_CHARACTER = /\p{Cc}/u;
const HOST_LABEL = /^[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9_])?$/i;

const textSchema = z
  .string()
  .max(MAX_TEXT_CHARS)
  .refine(text => !CONTROL_CHARACTER.test(text), 'has control characters');

export const discoveredServerSchema = z.object({
  serverId: z.string().max(MAX_ID_CHARS).regex(HEADER_VALUE),
  /** Unix time of the start; differs after a restart under the same id. */
  startedAtMs: z.number().int().nonnegative().max(MAX_START_MS),
  /** An IP address, without brackets, or a host name. */
  host: z.string().refine(isHost, 'is not an IP address or a host name'),
  port: z.number().int().min(1).max(MAX_PORT),
  service: textSchema.min(1),
  availabilityZone: textSchema.min(1),
  softwareVersion: textSchema,
  /** Number of requests that it processes concurrently. */
  slots: z.number().int().positive().max(MAX_SLOTS),
  state: z.enum(['ready', 'draining']),
  /** Remaining warm-up time after its start, as of this report. */
  warmupLeftMs: z.number().nonnegative().max(MAX_WARMUP_MS),
  /** Increases with each report of one run. */
  reportNumber: z
    .number()
    .min(Number.MIN_SAFE_INTEGER)
    .max(Number.MAX_SAFE_INTEGER)
    .default(0),
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

function isHost(text: string): boolean {
  // A scope belongs to one interface of one machine and fits in no URL.
  if (isIP(text) !== 0) return !text.includes('%');
  if (text.length > MAX_HOST_CHARS) return false;
  if (!text.split('.').every(label => HOST_LABEL.test(label))) return false;
  // URLs read names that end in a number as IPv4 addresses.
  const url = `http://${text}/`;
  return URL.canParse(url) && new URL(url).hostname === text.toLowerCase();
}
