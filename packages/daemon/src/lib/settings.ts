/** Settings of one instance, read from an INI file. See docs/configuration.md. */
import {parseSettingsText} from '@fireflytrack/configuration';
import type {TextError} from '@fireflytrack/configuration';
import type {Result} from '@fireflytrack/result';
import {z} from 'zod';

const port = z.coerce.number().int().min(0).max(65535);

const sections = {
  instance: z.strictObject({
    id: z.string().regex(/^[a-z0-9][a-z0-9-]*$/),
    availability_zone: z.string().min(1),
    region: z.string().min(1),
  }),
  entry: z.strictObject({host: z.ipv4().or(z.ipv6()), port}),
  admin: z.strictObject({
    host: z.ipv4().or(z.ipv6()),
    port,
    token: z.string().min(16),
  }),
  peer: z.strictObject({
    host: z.ipv4().or(z.ipv6()),
    port,
    fleet_secret: z.string().min(16),
  }),
  platform: z.strictObject({
    url: z.url({protocol: /^https?$/}),
    timeout_ms: z.coerce.number().int().min(10).max(60_000).default(1000),
    store_region: z.string().min(1),
  }),
  freshness: z
    .strictObject({
      freshness_limit_ms: z.coerce
        .number()
        .int()
        .min(1000)
        .max(60_000)
        .default(4000),
      on_isolation: z.enum(['refuse', 'serve']).default('refuse'),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
    })
    .prefault({}),
  metrics: z
    .strictObject({
      statsd_host: z.string().optional(),
      statsd_port: port.default(8125),
    })
    .prefault({}),
  stop: z
    .strictObject({
      balancer_wait_ms: z.coerce.number().int().min(0).default(3000),
      finish_within_ms: z.coerce.number().int().min(0).default(30_000),
    })
    .prefault({}),
};

export const settingsSchema = z.strictObject(sections);
export type Settings = z.infer<typeof settingsSchema>;

/** Parses and validates a settings text; returns the first error. */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, TextError> {
  return parseSettingsText(text, file, settingsSchema);
}
