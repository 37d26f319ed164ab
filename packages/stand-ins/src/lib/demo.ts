/**
 * The demo: a complete fleet of real processes serves requests over HTTP. Every
 * response is checked, and so is what the backend servers received and executed.
 */
import {randomUUID} from 'node:crypto';
import sade from 'sade';
import {request} from 'undici';
import {sleep} from '@fireflytrack/time';
import {LocalFleet} from './local-fleet.js';
import type {FleetInstance, FleetTarget} from './local-fleet.js';

interface DemoFlags {
  kill?: boolean;
  requests: string;
}

interface DemoReport {
  sent: number;
  ok: number;
  refused: number;
  /** Certifications whose outcome the fleet reported as unknown. */
  unknown: number;
  wrong: number;
  duplicates: number;
  keyLeaks: number;
}

const ZONES = [
  {availabilityZone: 'nord-1', region: 'nord'},
  {availabilityZone: 'sahel-1', region: 'sahel'},
  {availabilityZone: 'sud-1', region: 'sud'},
];
const TARGETS_PER_SERVICE = 4;
const TEAM = 'mall-tunis';
const CONCURRENCY = 16;
// One request in this many is a certification; the others are lookups.
const CERTIFICATION_INTERVAL = 5;
const MAX_ATTEMPTS = 5;
const RETRY_DELAY_MS = 100;

export async function runDemo(argv: string[]): Promise<void> {
  const program = sade('demo', true)
    .option('--kill', 'Kill one entry instance halfway through the run')
    .option('--requests', 'Number of requests to send', '600')
    .action(async (flags: DemoFlags) => {
      const report = await runFleetDemo(Number(flags.requests), !!flags.kill);
      const {wrong, duplicates, keyLeaks, refused, unknown} = report;
      console.log(JSON.stringify(report));
      // The outcome of a certification on the killed instance may stay unknown.
      const unexpectedUnknown = flags.kill ? 0 : unknown;
      const failures =
        wrong + duplicates + keyLeaks + refused + unexpectedUnknown;
      const succeeded = failures === 0;
      process.exitCode = succeeded ? 0 : 1;
    });
  await program.parse(argv);
}

async function runFleetDemo(
  requests: number,
  kill: boolean,
): Promise<DemoReport> {
  const fleet = await LocalFleet.create({zones: ZONES, storeRegion: 'nord'});
  try {
    for (let index = 0; index < 2 * TARGETS_PER_SERVICE; index += 1) {
      await fleet.startTarget({slots: 4, serviceTimeMs: 3});
    }
    const file = fleet.writeConfiguration(renderConfiguration(fleet.targets));
    console.log(await applyWithRetries(fleet, file));
    const key = await fleet.runCommand('keys', 'issue', TEAM);
    await fleet.waitUntilReady();
    await waitUntilKeyIsKnown(fleet, key);
    return await sendAll(fleet, key, requests, kill);
  } finally {
    if (!(await fleet.stop())) process.exitCode = 1;
  }
}

async function applyWithRetries(
  fleet: LocalFleet,
  file: string,
): Promise<string> {
  for (let attempt = 0; ; attempt += 1) {
    try {
      return await fleet.runCommand('apply', file, '--base', '0');
    } catch (error) {
      if (attempt === MAX_ATTEMPTS) throw error;
      await sleep(500);
    }
  }
}

/** Waits until every instance knows the new key, about 10 s each at most. */
async function waitUntilKeyIsKnown(
  fleet: LocalFleet,
  key: string,
): Promise<void> {
  for (const instance of fleet.instances) {
    for (let attempt = 0; attempt < 100; attempt += 1) {
      const status = (await lookup(instance, key, 0)).status;
      if (status !== 401) break;
      await sleep(100);
    }
  }
}

async function sendAll(
  fleet: LocalFleet,
  key: string,
  requests: number,
  kill: boolean,
): Promise<DemoReport> {
  const report: DemoReport = {
    sent: 0,
    ok: 0,
    refused: 0,
    unknown: 0,
    wrong: 0,
    duplicates: 0,
    keyLeaks: 0,
  };
  const caller = async () => {
    while (report.sent < requests) {
      report.sent += 1;
      const index = report.sent;
      if (kill && index === Math.floor(requests / 2)) {
        fleet.instances[1]!.process.signal('SIGKILL');
      }
      report[await sendWithRetries(fleet.instances, key, index)] += 1;
    }
  };
  await Promise.all(Array.from({length: CONCURRENCY}, caller));
  await countLeaksAndDuplicates(fleet, key, report);
  return report;
}

/** Sends one request and retries failures through other instances. */
async function sendWithRetries(
  instances: FleetInstance[],
  key: string,
  index: number,
): Promise<'ok' | 'refused' | 'unknown' | 'wrong'> {
  const certification = index % CERTIFICATION_INTERVAL === 0;
  const idempotencyKey = randomUUID();
  let lastFailure: 'refused' | 'unknown' = 'refused';
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const instance = instances[(index + attempt) % instances.length]!;
    try {
      const response = certification
        ? await certify(instance, key, idempotencyKey)
        : await lookup(instance, key, index);
      if (response.status === 200) {
        const path = certification ? '/certify' : `/readings/${index}`;
        return response.path === path && response.team === TEAM
          ? 'ok'
          : 'wrong';
      }
      lastFailure = response.outcome === 'unknown' ? 'unknown' : 'refused';
    } catch {
      // The instance was killed; the retry goes to another one.
    }
    await sleep(RETRY_DELAY_MS);
  }
  return lastFailure;
}

interface DemoResponse {
  status: number;
  path?: string;
  outcome?: string;
  team?: string;
}

async function lookup(
  instance: FleetInstance,
  key: string,
  index: number,
): Promise<DemoResponse> {
  const response = await request(`${instance.entryUrl}/readings/${index}`, {
    headers: {authorization: `Bearer ${key}`},
  });
  const body = (await response.body.json()) as object;
  return {status: response.statusCode, ...body};
}

async function certify(
  instance: FleetInstance,
  key: string,
  idempotencyKey: string,
): Promise<DemoResponse> {
  const response = await request(`${instance.entryUrl}/certify`, {
    method: 'POST',
    headers: {'x-api-key': key, 'idempotency-key': idempotencyKey},
    body: JSON.stringify({report: idempotencyKey}),
  });
  const body = (await response.body.json()) as object;
  return {status: response.statusCode, ...body};
}

async function countLeaksAndDuplicates(
  fleet: LocalFleet,
  key: string,
  report: DemoReport,
): Promise<void> {
  const executions = new Map<string, number>();
  const secret = key.slice(key.lastIndexOf('_') + 1);
  for (const target of fleet.targets) {
    const observed = await fleet.controlTarget(target);
    report.keyLeaks += observed.seen.filter(line =>
      line.includes(secret),
    ).length;
    for (const [id, count] of Object.entries(observed.executions)) {
      executions.set(id, (executions.get(id) ?? 0) + count);
    }
  }
  for (const count of executions.values()) report.duplicates += count - 1;
}

function renderConfiguration(targets: FleetTarget[]): string {
  const formatTargets = (from: number) =>
    targets
      .slice(from, from + TARGETS_PER_SERVICE)
      .map((target, index) => `127.0.0.1:${target.port}@${zoneForIndex(index)}`)
      .join(', ');
  return `[fleet]
schema_version = 1
name = demo
max_instances = 8

[service.counting]
targets = ${formatTargets(0)}
slots = 4
connections = 360
capacity_floor = 0.5

[service.certification]
targets = ${formatTargets(TARGETS_PER_SERVICE)}
depends_on = counting
slots = 4
connections = 360
capacity_floor = 0.5

[route.readings]
service = counting
path = /readings/*
methods = GET
execution = idempotent
teams = *
deadline_ms = 2000

[route.certify]
service = certification
path = /certify
methods = POST
execution = once
teams = ${TEAM}
deadline_ms = 3000

[team.${TEAM}]
rate_per_second = 5000
burst_tokens = 5000
`;
}

function zoneForIndex(index: number): string {
  return ZONES[index % ZONES.length]!.availabilityZone;
}
