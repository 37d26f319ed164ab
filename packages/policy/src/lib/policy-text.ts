/**
 * Parses the policy from the INI text that operators write.
 * docs/configuration.md lists its sections and keys.
 */
import {parseIni} from '@fireflytrack/configuration';
import type {IniSection, TextError} from '@fireflytrack/configuration';
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {z} from 'zod';
import {completePolicySchema} from './traffic-policy.js';
import type {TrafficPolicy} from './traffic-policy.js';

const number = z.coerce.number();
const flag = z.enum(['yes', 'no']).transform(text => text === 'yes');
const list = z.string().transform(text =>
  text
    .split(',')
    .map(part => part.trim())
    .filter(part => part !== ''),
);
/** Parts such as `stable:90, canary:10`; the weight defaults to 1. */
const parts = list.transform(texts =>
  texts.map(text => {
    const [service = '', weight = '1'] = text.split(':');
    return {service: service.trim(), weight: Number(weight)};
  }),
);

const policySchema = z.strictObject({version: number});
const limitsSchema = z.strictObject({
  max_header_bytes: number,
  max_body_bytes: number,
  header_timeout_ms: number,
  idle_timeout_ms: number,
});
const serviceSchema = z.strictObject({
  health_path: z.string(),
  max_connections_per_server: number,
});
const teamSchema = z.strictObject({
  key_digests: list,
  rank: number.optional(),
  rate_per_second: number.default(0),
  burst_tokens: number.default(0),
});
const routeSchema = z.strictObject({
  host: z.string(),
  prefix: z.string(),
  execution: z.string(),
  parts,
  timeout_ms: number,
  target_latency_ms: number,
  max_attempts: number.default(1),
  rank: number.default(0),
  open: flag.default(false),
});

class SectionError extends Error {
  constructor(
    readonly section: string,
    readonly key: string,
    readonly expected: string,
  ) {
    super(expected);
  }
}

/** Parses and validates a policy text. Returns the first error. */
export function parsePolicyText(
  text: string,
  file: string,
): Result<TrafficPolicy, TextError> {
  const document = parseIni(text, file);
  if (document.err) return document;
  try {
    const policy = completePolicySchema.safeParse(buildPolicy(document.val));
    if (policy.success) return Ok(policy.data);
    const issue = policy.error.issues[0];
    const [section = '', index, key = ''] = (issue?.path ?? []).map(String);
    const location = index === undefined ? section : `${section}.${index}`;
    const expected = issue?.message ?? 'invalid';
    return Err({file, section: location, key, expected});
  } catch (error) {
    if (!(error instanceof SectionError)) throw error;
    const {section, key, expected} = error;
    return Err({file, section, key, expected});
  }
}

/** Converts the sections to the input of `completePolicySchema`. */
function buildPolicy(document: ReadonlyMap<string, IniSection>): unknown {
  const limits = readSection(document, 'limits', limitsSchema);
  const routes: unknown[] = [];
  const services: unknown[] = [];
  const teams: unknown[] = [];
  for (const section of document.keys()) {
    const [kind, ...rest] = section.split('.');
    const name = rest.join('.');
    if (kind === 'route') {
      routes.push(toRoute(name, readSection(document, section, routeSchema)));
    } else if (kind === 'service') {
      services.push(
        toService(name, readSection(document, section, serviceSchema)),
      );
    } else if (kind === 'team') {
      teams.push(toTeam(name, readSection(document, section, teamSchema)));
    } else if (section !== 'policy' && section !== 'limits') {
      const known = 'policy, limits, route.NAME, service.NAME or team.NAME';
      throw new SectionError(section, '', `expected a section ${known}`);
    }
  }
  return {
    version: readSection(document, 'policy', policySchema).version,
    routes,
    services,
    teams: teams.length > 0 ? teams : undefined,
    callerLimits: {
      maxHeaderBytes: limits.max_header_bytes,
      maxBodyBytes: limits.max_body_bytes,
      headerTimeoutMs: limits.header_timeout_ms,
      idleTimeoutMs: limits.idle_timeout_ms,
    },
  };
}

function readSection<T>(
  document: ReadonlyMap<string, IniSection>,
  section: string,
  schema: z.ZodType<T>,
): T {
  const values = document.get(section);
  if (!values) throw new SectionError(section, '', 'expected the section');
  const parsed = schema.safeParse(Object.fromEntries(values));
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const key = String(issue?.path[0] ?? '');
  throw new SectionError(section, key, issue?.message ?? 'invalid');
}

function toRoute(name: string, route: z.infer<typeof routeSchema>): unknown {
  return {
    name,
    host: route.host,
    prefix: route.prefix,
    execution: route.execution,
    parts: route.parts,
    timeoutMs: route.timeout_ms,
    targetLatencyMs: route.target_latency_ms,
    maxAttempts: route.max_attempts,
    rank: route.rank,
    open: route.open,
  };
}

function toService(
  name: string,
  service: z.infer<typeof serviceSchema>,
): unknown {
  return {
    name,
    healthPath: service.health_path,
    maxConnectionsPerServer: service.max_connections_per_server,
  };
}

function toTeam(name: string, team: z.infer<typeof teamSchema>): unknown {
  return {
    name,
    keyDigests: team.key_digests,
    rank: team.rank,
    ratePerSecond: team.rate_per_second,
    burstTokens: team.burst_tokens,
  };
}
