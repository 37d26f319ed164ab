/**
 * Settings of one gateway process, read from an INI file. See
 * docs/configuration.md.
 */
import {parseSettingsText} from '@fireflytrack/configuration';
import type {TextError} from '@fireflytrack/configuration';
import type {Result} from '@fireflytrack/result';
import {z} from 'zod';

const MAX_PORT = 65535;

/** An address such as `10.1.0.24:8045`. */
const address = z.string().transform((text, context) => {
  const [, host, port] = /^(.+):(\d+)$/.exec(text) ?? [];
  if (host !== undefined && Number(port) <= MAX_PORT) {
    return {host, port: Number(port)};
  }
  context.addIssue({code: 'custom', message: 'expected HOST:PORT'});
  return z.NEVER;
});

/** Pairs such as `nord-a:nord, sud-a:sud`. */
const zoneRegions = z.string().transform((text, context) => {
  const regions = new Map<string, string>();
  for (const pair of text.split(',')) {
    const [zone, region] = pair.split(':').map(part => part.trim());
    if (!zone || !region) {
      context.addIssue({code: 'custom', message: 'expected ZONE:REGION, ...'});
      return z.NEVER;
    }
    regions.set(zone, region);
  }
  return regions;
});

const headerName = z.string().min(1).toLowerCase();
const durationMs = z.coerce.number().int().positive();
const count = z.coerce.number().int().positive();

/** A template renders a field that the platform does not know as empty. */
function absentIfEmpty<T extends z.ZodType>(schema: T) {
  return z.preprocess(value => (value === '' ? undefined : value), schema);
}

const gatewaySettingsSchema = z.strictObject({
  instance: z.strictObject({
    id: z.string().min(1),
    availability_zone: z.string().min(1),
    region: z.string().min(1),
    zones: zoneRegions,
    /** Assumed number of instances until they have been counted. */
    max_instances: count,
    /** Processor time of the machine for this process, in cores. */
    processor_share: absentIfEmpty(z.coerce.number().positive().optional()),
    /** Memory that the machine has for this process. */
    memory_mb: absentIfEmpty(z.coerce.number().positive().optional()),
    /** Whether the whole fleet starts for the first time. */
    first_start: absentIfEmpty(z.enum(['true', 'false']).default('false')),
  }),
  entry: z.strictObject({
    listen: address,
    ready_listen: address,
    ready_path: z.string().startsWith('/'),
    key_header: headerName,
    key_scheme: z.string().min(1),
  }),
  /** Address on which other instances of the fleet connect. */
  peer: z.strictObject({listen: address}),
  headers: z.strictObject({
    request_id: headerName,
    deadline_ms: headerName,
    expected_server: headerName,
    team: headerName,
    not_executed: headerName,
    signature: headerName,
    /** Limits that servers name are ignored unless this is set. */
    server_limit: headerName.optional(),
    /** Servers that say they leave are not heard unless this is set. */
    server_leaving: headerName.optional(),
    /** Pauses that servers ask for with 503 are not kept unless this is set. */
    retry_after: headerName.optional(),
  }),
  store: z.strictObject({
    address,
    /** Longest wait of one call for policy changes (long polling). */
    policy_wait_ms: durationMs.optional(),
    /** Longest wait of one call for changes of the server list. */
    servers_wait_ms: durationMs.optional(),
    /** Pause after a call that returned server changes, which batches them. */
    servers_pause_ms: durationMs,
  }),
  promises: z.strictObject({
    /** Time after which a withdrawn key must be rejected everywhere. */
    revocation_ms: durationMs,
    /** Time after which a changed policy must be in force everywhere. */
    policy_apply_ms: durationMs,
    /** Time after which a server that leaves must get no new request. */
    server_leave_ms: absentIfEmpty(durationMs.optional()),
    /** Time within which a stop must be complete. */
    stop_within_ms: durationMs,
    /** Time that server entries which lapsed in an outage need to return. */
    lapse_grace_ms: durationMs,
    repeat_ratio: z.coerce.number().nonnegative(),
    repeat_allowance: z.coerce.number().nonnegative(),
    repeat_window_ms: durationMs,
    /** Minimum share of a service's servers that stays in use. */
    floor_share: z.coerce.number().min(0).max(1),
    rate_overrun: z.coerce.number().nonnegative(),
    rate_slack: z.coerce.number().nonnegative(),
  }),
  /** Requests under which backend servers go down. */
  crashes: z
    .strictObject({
      /** Crashes of servers from which a request is held back. */
      hold_after: count.default(3),
      /** Time until a held request is tried once; doubled after each trial. */
      hold_ms: durationMs.default(300_000),
    })
    .prefault({}),
  metrics: z
    .strictObject({
      /** Metrics are served only if this is set. */
      listen: address.optional(),
      path: z.string().startsWith('/').default('/metrics'),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
      lines_per_second: count.default(5),
    })
    .prefault({}),
});
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Parses and validates a settings text. Returns the first error. */
export function parseGatewaySettings(
  text: string,
  file: string,
): Result<GatewaySettings, TextError> {
  return parseSettingsText(text, file, gatewaySettingsSchema);
}
