/**
 * Schema of the traffic policy that operators configure: routes from hosts and
 * paths to services, timeouts and attempts, the teams with their keys and rates,
 * and the limits for callers.
 */
import {z} from 'zod';

// Timers of Node.js hold 2^31 - 1 ms and take longer times for 1 ms. Some times
// get a margin before they become timers.
const MAX_TIME_MS = 2_000_000_000;
// Sums and products with it stay exact enough to compare.
const MAX_WEIGHT = 1e9;
// Far above what a fleet can serve.
const MAX_REQUESTS = 1e9;

const timeSchema = z.number().positive().max(MAX_TIME_MS);

export const splitPartSchema = z.object({
  service: z.string().min(1),
  /** Relative share of the route's requests. */
  weight: z.number().nonnegative().max(MAX_WEIGHT),
});
export type SplitPart = z.infer<typeof splitPartSchema>;

export const trafficRouteSchema = z.object({
  name: z.string().min(1),
  host: z.string().min(1).toLowerCase(),
  /** Begins and ends with a slash; the longest match selects the route. */
  prefix: z.string().regex(/^\/(.*\/)?$/),
  /** `idempotent` requests may be retried; `once` requests run at most once. */
  execution: z.enum(['idempotent', 'once']),
  /** One part, or several among which requests are split by weight. */
  parts: z.array(splitPartSchema).min(1),
  /** Maximum time that a caller waits for the response. */
  timeoutMs: timeSchema,
  /** Latency objective: a response within it has its full value. */
  targetLatencyMs: timeSchema,
  /** Maximum number of servers to which one request may be sent. */
  maxAttempts: z.number().int().min(1),
  /** Priority; 0 is the most important. */
  rank: z.number().int().nonnegative(),
  /** Open routes are served without a key. */
  open: z.boolean(),
});
export type TrafficRoute = z.infer<typeof trafficRouteSchema>;

export const teamPolicySchema = z.object({
  name: z.string().min(1),
  /** SHA-256 digests of the team's keys, in base64. */
  keyDigests: z.array(z.string().length(44)),
  /** Overrides the rank of the route when set. */
  rank: z.number().int().nonnegative().optional(),
  /** 0 means no limit. */
  ratePerSecond: z.number().nonnegative().max(MAX_REQUESTS),
  burstTokens: z.number().nonnegative().max(MAX_REQUESTS),
});
export type TeamPolicy = z.infer<typeof teamPolicySchema>;

export const servicePolicySchema = z.object({
  name: z.string().min(1),
  healthPath: z.string().startsWith('/'),
  /** Connections that a server accepts from all its clients together. */
  maxConnectionsPerServer: z.number().int().positive(),
});
export type ServicePolicy = z.infer<typeof servicePolicySchema>;

export const callerLimitsSchema = z.object({
  maxHeaderBytes: z.number().int().positive(),
  maxBodyBytes: z.number().int().positive(),
  headerTimeoutMs: timeSchema,
  idleTimeoutMs: timeSchema,
});
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** A route that is not served, because it could not be read. */
export const refusedRouteSchema = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  reason: z.string(),
});
export type RefusedRoute = z.infer<typeof refusedRouteSchema>;

/** A part of a policy that was left out or read cautiously. */
export const policyNoticeSchema = z.object({
  part: z.enum(['route', 'service', 'team', 'limit', 'other']),
  name: z.string(),
  reason: z.string(),
});
export type PolicyNotice = z.infer<typeof policyNoticeSchema>;

export const trafficPolicySchema = z
  .object({
    /** Increases with each change; a process never returns to an older one. */
    version: z.number().int().nonnegative(),
    routes: z.array(trafficRouteSchema),
    services: z.array(servicePolicySchema),
    /** Absent when callers need no key. */
    teams: z.array(teamPolicySchema).optional(),
    callerLimits: callerLimitsSchema,
    /** Requests that match one of them are refused. */
    refusedRoutes: z.array(refusedRouteSchema).optional(),
    /** Keys whose team could not be read; requests with them are refused. */
    refusedKeyDigests: z.array(z.string()).optional(),
    notices: z.array(policyNoticeSchema).optional(),
  })
  .superRefine((policy, context) => {
    const teamByDigest = new Map<string, string>();
    for (const team of policy.teams ?? []) {
      for (const digest of team.keyDigests) {
        const owner = teamByDigest.get(digest) ?? team.name;
        teamByDigest.set(digest, owner);
        if (owner === team.name) continue;
        const message = `teams ${owner} and ${team.name} share a key`;
        context.addIssue({code: 'custom', message, path: ['teams']});
      }
    }
  });
export type TrafficPolicy = z.infer<typeof trafficPolicySchema>;

/** A policy that its operators wrote here: each route names known services. */
export const completePolicySchema = trafficPolicySchema.superRefine(
  (policy, context) => {
    const services = new Set(policy.services.map(service => service.name));
    for (const route of policy.routes) {
      for (const {service} of route.parts) {
        if (services.has(service)) continue;
        const message = `route ${route.name} names the unknown service ${service}`;
        context.addIssue({code: 'custom', message, path: ['routes']});
      }
    }
  },
);
