/**
 * Parses and validates the INI text of the configuration.
 *
 * Parsing stops at the first error, which names file, section, key and the
 * expected value.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {isIP} from 'node:net';
import {z} from 'zod';
import {SCHEMA_VERSION} from './configuration-schema.js';
import type {
  BackendServer,
  Configuration,
  Route,
  Service,
  Team,
} from './configuration-schema.js';
import {parseIni} from './ini-document.js';
import type {IniDocument, IniSection} from './ini-document.js';
import {SectionReader} from './section-reader.js';
import type {TextError} from './text-error.js';

const parseList = (text: string) =>
  text
    .split(',')
    .map(part => part.trim())
    .filter(part => part !== '');

const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;
const EXECUTIONS = ['idempotent', 'once'] as const;

const fieldSchemas = {
  schemaVersion: z.coerce.number().pipe(z.literal(SCHEMA_VERSION)),
  name: z.string().regex(/^[a-z][a-z0-9-]*$/),
  maxInstances: z.coerce.number().int().min(1).max(100_000),
  slots: z.coerce.number().int().min(1).max(10_000),
  connections: z.coerce.number().int().min(1).max(100_000),
  fraction: z.coerce.number().min(0).max(1),
  names: z.string().transform(parseList),
  path: z.string().regex(/^\/[^\s?#*]*(\/\*)?$|^\/\*$/),
  methods: z
    .string()
    .transform(parseList)
    .pipe(z.array(z.enum(METHODS)).min(1)),
  execution: z.enum(EXECUTIONS),
  deadlineMs: z.coerce.number().int().min(1).max(600_000),
  bodyBytes: z.coerce.number().int().min(0).max(1_073_741_824),
  mediaType: z.string().regex(/^[\w.+-]+\/[\w.+-]+$/),
  rate: z.coerce.number().positive().max(10_000_000),
  burst: z.coerce.number().min(1).max(100_000_000),
};

const DEFAULT_DEADLINE_MS = 5000;
const DEFAULT_MAX_BODY_BYTES = 1_048_576;

export function parseConfigurationText(
  text: string,
  file: string,
): Result<Configuration, TextError> {
  const document = parseIni(text, file);
  if (document.err) return document;
  try {
    return Ok(readDocument(document.val, file));
  } catch (error) {
    if (error instanceof SectionReader.Failure) return Err(error.textError);
    throw error;
  }
}

function readDocument(document: IniDocument, file: string): Configuration {
  const fleetSection = document.get('fleet') ?? new Map<string, string>();
  const reader = SectionReader.create(file, 'fleet', fleetSection);
  const configuration: Configuration = {
    schemaVersion: reader.required(
      'schema_version',
      fieldSchemas.schemaVersion,
      `${SCHEMA_VERSION}`,
    ),
    name: reader.required('name', fieldSchemas.name, 'a lower-case name'),
    maxInstances: reader.required(
      'max_instances',
      fieldSchemas.maxInstances,
      'a whole number of 1 to 100000',
    ),
    services: new Map(),
    routes: [],
    teams: new Map(),
  };
  reader.finish();
  for (const [name, section] of document) {
    if (name !== 'fleet') addSection(configuration, file, name, section);
  }
  checkReferences(configuration, file);
  return configuration;
}

function addSection(
  configuration: Configuration,
  file: string,
  sectionName: string,
  section: IniSection,
): void {
  const dotIndex = sectionName.indexOf('.');
  const kind = dotIndex < 0 ? sectionName : sectionName.slice(0, dotIndex);
  const name = dotIndex < 0 ? '' : sectionName.slice(dotIndex + 1);
  const reader = SectionReader.create(file, sectionName, section);
  if (!fieldSchemas.name.safeParse(name).success) {
    reader.fail('', 'expected fleet, service.NAME, route.NAME or team.NAME');
  }
  if (kind === 'service') {
    configuration.services.set(name, readService(reader, name));
  } else if (kind === 'route') {
    configuration.routes.push(readRoute(reader, name));
  } else if (kind === 'team') {
    configuration.teams.set(name, readTeam(reader, name));
  } else {
    reader.fail('', 'expected fleet, service.NAME, route.NAME or team.NAME');
  }
  reader.finish();
}

function readService(reader: SectionReader, name: string): Service {
  const servers = reader.required(
    'targets',
    fieldSchemas.names,
    'a list of targets',
  );
  return {
    name,
    servers: servers.map(server => readServer(reader, server)),
    dependsOn: reader.optional(
      'depends_on',
      fieldSchemas.names,
      'service names',
      [],
    ),
    slotsPerServer: reader.required('slots', fieldSchemas.slots, '1 to 10000'),
    connectionsPerServer: reader.required(
      'connections',
      fieldSchemas.connections,
      '1 to 100000',
    ),
    capacityFloor: reader.required(
      'capacity_floor',
      fieldSchemas.fraction,
      'a fraction of 0 to 1',
    ),
  };
}

function readServer(reader: SectionReader, text: string): BackendServer {
  const match = /^(.+):(\d+)@([a-z][a-z0-9-]*)$/.exec(text);
  const host = match?.[1]?.replace(/^\[(.*)\]$/, '$1') ?? '';
  const port = Number(match?.[2]);
  if (!match || isIP(host) === 0 || port < 1 || port > 65535) {
    return reader.fail('targets', `expected IP:PORT@ZONE, found "${text}"`);
  }
  const serverId = `${match[1]}:${port}`;
  return {serverId, host, port, availabilityZone: match[3]!};
}

function readRoute(reader: SectionReader, name: string): Route {
  const teams = reader.required('teams', fieldSchemas.names, '* or team names');
  return {
    name,
    service: reader.required('service', fieldSchemas.name, 'a service name'),
    path: reader.required('path', fieldSchemas.path, '/path or /path/*'),
    methods: reader.required(
      'methods',
      fieldSchemas.methods,
      METHODS.join(', '),
    ),
    execution: reader.required(
      'execution',
      fieldSchemas.execution,
      EXECUTIONS.join(' or '),
    ),
    teams: teams.includes('*') ? '*' : teams,
    deadlineMs: reader.optional(
      'deadline_ms',
      fieldSchemas.deadlineMs,
      '1 to 600000',
      DEFAULT_DEADLINE_MS,
    ),
    maxBodyBytes: reader.optional(
      'max_body_bytes',
      fieldSchemas.bodyBytes,
      '0 to 1073741824',
      DEFAULT_MAX_BODY_BYTES,
    ),
    answerContentType: reader.optional(
      'answer_content_type',
      fieldSchemas.mediaType,
      'a media type',
      undefined,
    ),
  };
}

function readTeam(reader: SectionReader, name: string): Team {
  return {
    name,
    ratePerSecond: reader.required(
      'rate_per_second',
      fieldSchemas.rate,
      'over 0',
    ),
    burstTokens: reader.required(
      'burst_tokens',
      fieldSchemas.burst,
      '1 or more',
    ),
  };
}

function checkReferences(configuration: Configuration, file: string): void {
  const emptySection: IniSection = new Map();
  const {services, routes, teams} = configuration;
  for (const service of services.values()) {
    const reader = SectionReader.create(
      file,
      `service.${service.name}`,
      emptySection,
    );
    for (const name of service.dependsOn) {
      if (!services.has(name)) {
        reader.fail('depends_on', `expected a service, found "${name}"`);
      }
    }
    const ids = new Set(service.servers.map(server => server.serverId));
    if (ids.size < service.servers.length) {
      reader.fail('targets', 'expected each target once');
    }
  }
  for (const route of routes) {
    const reader = SectionReader.create(
      file,
      `route.${route.name}`,
      emptySection,
    );
    if (!services.has(route.service)) {
      reader.fail('service', `expected a service, found "${route.service}"`);
    }
    for (const name of route.teams === '*' ? [] : route.teams) {
      if (!teams.has(name)) {
        reader.fail('teams', `expected a team, found "${name}"`);
      }
    }
  }
}
