/**
 * Schema of the configuration after parsing and validation.
 *
 * docs/configuration.md lists the section and key names of the INI text.
 */
import {z} from 'zod';

export const SCHEMA_VERSION = 1;

export const backendServerSchema = z.object({
  /** `host:port`, unique within a service. */
  serverId: z.string(),
  host: z.string(),
  port: z.number().int().min(1).max(65535),
  availabilityZone: z.string(),
});
export type BackendServer = z.infer<typeof backendServerSchema>;

export const serviceSchema = z.object({
  name: z.string(),
  servers: z.array(backendServerSchema).min(1),
  /** Services that this one calls; shown to operators and in the dump. */
  dependsOn: z.array(z.string()),
  slotsPerServer: z.number().int().min(1).max(10_000),
  connectionsPerServer: z.number().int().min(1).max(100_000),
  /** Minimum fraction of the service's slots that ejection leaves in rotation. */
  capacityFloor: z.number().min(0).max(1),
});
export type Service = z.infer<typeof serviceSchema>;

export const routeSchema = z.object({
  name: z.string(),
  service: z.string(),
  /** An exact path, or a prefix that ends in `/*`. */
  path: z.string().startsWith('/'),
  methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])),
  /** `idempotent` calls may be retried; `once` calls run at most once. */
  execution: z.enum(['idempotent', 'once']),
  /** Names of the teams that may call, or `*` for every team with a key. */
  teams: z.union([z.literal('*'), z.array(z.string())]),
  deadlineMs: z.number().int().min(1).max(600_000),
  maxBodyBytes: z.number().int().min(0).max(1_073_741_824),
  /** Required media type of successful responses; any if absent. */
  answerContentType: z.string().optional(),
});
export type Route = z.infer<typeof routeSchema>;

export const teamSchema = z.object({
  name: z.string(),
  ratePerSecond: z.number().positive().max(10_000_000),
  burstTokens: z.number().min(1).max(100_000_000),
});
export type Team = z.infer<typeof teamSchema>;

export const configurationSchema = z.object({
  schemaVersion: z.literal(SCHEMA_VERSION),
  name: z.string(),
  /** Maximum concurrent instances; connections per server are divided by it. */
  maxInstances: z.number().int().min(1).max(100_000),
  services: z.map(z.string(), serviceSchema),
  routes: z.array(routeSchema),
  teams: z.map(z.string(), teamSchema),
});
export type Configuration = z.infer<typeof configurationSchema>;
