/**
 * Builds a policy from parts that another program wrote, some of which this
 * release may not understand.
 *
 * A part that is invalid is left out, and what it would have decided is refused:
 * requests of its route, keys of its team. It never widens what is allowed, since
 * a request must not fall through to a shorter route or an open one. The rest of
 * the policy is in force.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {z} from 'zod';
import {
  callerLimitsSchema,
  servicePolicySchema,
  teamPolicySchema,
  trafficPolicySchema,
  trafficRouteSchema,
} from './traffic-policy.js';
import type {
  CallerLimits,
  PolicyNotice,
  RefusedRoute,
  ServicePolicy,
  TeamPolicy,
  TrafficPolicy,
  TrafficRoute,
} from './traffic-policy.js';

/** A part as it was written, or why it cannot be read. */
export type PartReading = Result<unknown, string>;

export interface RoutePart {
  name: string;
  host: string;
  /** Undefined if it cannot be read. */
  prefix: string | undefined;
  reading: PartReading;
  /** Set if the part is valid but was read cautiously. */
  caution?: string | undefined;
}

export interface TeamPart {
  name: string;
  /** Digests of the keys that can be read, also of an invalid team. */
  keyDigests: string[];
  reading: PartReading;
}

export interface ServicePart {
  name: string;
  reading: PartReading;
}

export interface PolicyParts {
  version: number;
  callerLimits: Record<keyof CallerLimits, unknown>;
  routes: RoutePart[];
  services: ServicePart[];
  /** Undefined if callers need no key. */
  teams: TeamPart[] | undefined;
  /** Parts that could not be attributed to a route, service or team. */
  notices: PolicyNotice[];
}

// Used in place of limits that cannot be read. The idle time is long, because a
// caller may be sending on a connection that is closed early.
const FALLBACK_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 60_000,
};

/** Returns an error only if the policy is invalid as a whole. */
export function assemblePolicy(
  parts: PolicyParts,
): Result<TrafficPolicy, string> {
  return PolicyAssembly.create(parts).assemble();
}

class PolicyAssembly {
  private readonly notices: PolicyNotice[];
  private readonly refusedRoutes: RefusedRoute[] = [];
  private readonly refusedKeyDigests = new Set<string>();

  private constructor(private readonly parts: PolicyParts) {
    this.notices = [...parts.notices];
  }

  static create(parts: PolicyParts): PolicyAssembly {
    return new PolicyAssembly(parts);
  }

  assemble(): Result<TrafficPolicy, string> {
    const {version} = this.parts;
    const services = this.parts.services.flatMap(part =>
      this.readService(part),
    );
    const routes = this.parts.routes.flatMap(part => this.readRoute(part));
    const policy = trafficPolicySchema.safeParse({
      version,
      routes: routes.filter(route => !this.isRefused(route)),
      services,
      teams: this.readTeams(),
      callerLimits: this.readLimits(),
      refusedRoutes: this.refusedRoutes,
      refusedKeyDigests: [...this.refusedKeyDigests],
      notices: this.notices,
    });
    return policy.success ? Ok(policy.data) : Err(describeIssue(policy.error));
  }

  private readService({name, reading}: ServicePart): ServicePolicy[] {
    const service = parsePart(servicePolicySchema, reading);
    if (service.ok) return [service.val];
    this.notices.push({part: 'service', name, reason: service.val});
    return [];
  }

  private readRoute(part: RoutePart): TrafficRoute[] {
    const {name, host, prefix, reading, caution} = part;
    const route = parsePart(trafficRouteSchema, reading);
    if (route.ok) {
      if (caution !== undefined) {
        this.notices.push({part: 'route', name, reason: caution});
      }
      return [route.val];
    }
    this.notices.push({part: 'route', name, reason: route.val});
    const refused = {name, host: host.toLowerCase(), reason: route.val};
    this.refusedRoutes.push({...refused, prefix: toPrefix(prefix)});
    return [];
  }

  private isRefused({host, prefix}: TrafficRoute): boolean {
    return this.refusedRoutes.some(
      refused => refused.host === host && refused.prefix === prefix,
    );
  }

  private readTeams(): TeamPolicy[] | undefined {
    const teams = this.parts.teams?.flatMap(part => this.readTeam(part));
    const owners = new Map<string, string>();
    for (const {name, keyDigests} of teams ?? []) {
      for (const digest of keyDigests) {
        const owner = owners.get(digest) ?? name;
        owners.set(digest, owner);
        if (owner === name) continue;
        this.refusedKeyDigests.add(digest);
        const reason = `shares a key with the team ${owner}`;
        this.notices.push({part: 'team', name, reason});
      }
    }
    return teams?.map(team => ({
      ...team,
      keyDigests: team.keyDigests.filter(
        digest => !this.refusedKeyDigests.has(digest),
      ),
    }));
  }

  private readTeam({name, keyDigests, reading}: TeamPart): TeamPolicy[] {
    const team = parsePart(teamPolicySchema, reading);
    if (team.ok) return [team.val];
    for (const digest of keyDigests) this.refusedKeyDigests.add(digest);
    this.notices.push({part: 'team', name, reason: team.val});
    return [];
  }

  private readLimits(): CallerLimits {
    const limits = {...FALLBACK_LIMITS};
    for (const key of Object.keys(limits) as Array<keyof CallerLimits>) {
      const parsed = callerLimitsSchema.shape[key].safeParse(
        this.parts.callerLimits[key],
      );
      if (parsed.success) {
        limits[key] = parsed.data;
        continue;
      }
      const reason = `${describeIssue(parsed.error)}; ${limits[key]} is used`;
      this.notices.push({part: 'limit', name: key, reason});
    }
    return limits;
  }
}

function parsePart<T>(
  schema: z.ZodType<T>,
  reading: PartReading,
): Result<T, string> {
  if (reading.err) return Err(reading.val);
  const parsed = schema.safeParse(reading.val);
  return parsed.success ? Ok(parsed.data) : Err(describeIssue(parsed.error));
}

/** The whole host if the prefix cannot be read; longer prefixes still match. */
function toPrefix(prefix: string | undefined): string {
  const inner = (prefix ?? '').replace(/^\/+|\/+$/g, '');
  return inner === '' ? '/' : `/${inner}/`;
}

/** Describes the first fault of a value. */
export function describeIssue(error: z.ZodError): string {
  const issue = error.issues[0];
  const path = issue?.path.join('.') ?? '';
  const message = issue?.message ?? 'invalid';
  return path === '' ? message : `${path}: ${message}`;
}
