/**
 * Measures the request path with real processes on loopback: the plain
 * forwarders and fireflytrackd in turn, in front of the same backend server.
 */
import {ChildProcess, LocalFleet} from '@fireflytrack/stand-ins';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import type {LoadResult} from './load-generator.js';
import {loadResultSchema} from './load-generator.js';

export interface ForwarderSpeed {
  name: string;
  /** Closed loop with 32 callers. */
  requestsPerSecond: number;
  /** Open loop at 500 requests/s. */
  openP99Ms: number;
  openP50Ms: number;
  /** Closed loop with one caller. */
  oneCallerP99Ms: number;
  oneCallerP50Ms: number;
  errors: number;
  generatorCores: number;
}

export interface PathSpeedReport {
  scenario: 'path-speed';
  rounds: number;
  /** Medians over the rounds; `direct` is the backend server without forwarder. */
  forwarders: ForwarderSpeed[];
  /** Requests/s of fireflytrackd divided by those of moleculer-web. */
  throughputRatio: number;
  /** p99 at 500 requests/s minus that of direct calls to the backend server. */
  addedP99Ms: number;
  baseline: {addedP99Ms: number};
}

interface Target {
  name: string;
  url: string;
}

export interface PathSpeedOptions {
  rounds: number;
  phaseMs: number;
}

const CALLERS = 32;
const OPEN_RATE_PER_SECOND = 500;
const FORWARDER_WARM_UP_MS = 2000;
const LOAD_WARM_UP_MS = 1000;
const TEAM = 'team-1';
const MAX_RETRIES = 100;
const RETRY_DELAY_MS = 100;

const processScript = fileURLToPath(
  new URL('../../../bin/speed-process.js', import.meta.url),
);

export async function measurePathSpeed(
  options: PathSpeedOptions,
): Promise<PathSpeedReport> {
  const started: ChildProcess[] = [];
  const startProcess = async (...args: string[]) => {
    const child = ChildProcess.start(processScript, args);
    started.push(child);
    const {port} = await child.readFirstLine<{port: number}>();
    return `http://127.0.0.1:${port}`;
  };
  const zone = {availabilityZone: 'nord-1', region: 'nord'};
  const fleet = await LocalFleet.create({zones: [zone], storeRegion: 'nord'});
  try {
    const backend = await startProcess('backend');
    const key = await configureFleet(fleet, backend);
    const targets: Target[] = [
      {name: 'direct', url: backend},
      {name: 'node-http', url: await startProcess('http-forwarder', backend)},
      {
        name: 'moleculer-web',
        url: await startProcess('moleculer-forwarder', backend),
      },
      {name: 'fireflytrackd', url: fleet.instances[0]!.entryUrl},
    ];
    return buildReport(await measureRounds(targets, key, options), options);
  } finally {
    await Promise.all(started.map(child => child.stop()));
    await fleet.stop();
  }
}

/**
 * Measures all targets in each round, so that other load on the machine affects
 * them alike.
 */
async function measureRounds(
  targets: readonly Target[],
  key: string,
  options: PathSpeedOptions,
): Promise<Map<string, ForwarderSpeed[]>> {
  const results = new Map<string, ForwarderSpeed[]>();
  for (const {name, url} of targets) {
    await sendLoad(url, key, CALLERS, FORWARDER_WARM_UP_MS);
    results.set(name, []);
  }
  for (let round = 1; round <= options.rounds; round += 1) {
    for (const target of targets) {
      console.error(`path-speed round ${round}: ${target.name}`);
      const speed = await measureForwarder(target, key, options.phaseMs);
      results.get(target.name)!.push(speed);
    }
  }
  return results;
}

async function measureForwarder(
  {name, url}: Target,
  key: string,
  phaseMs: number,
): Promise<ForwarderSpeed> {
  const closed = await sendLoad(url, key, CALLERS, phaseMs);
  const open = await sendLoad(url, key, 0, phaseMs);
  const oneCaller = await sendLoad(url, key, 1, phaseMs);
  return {
    name,
    requestsPerSecond: closed.requestsPerSecond,
    openP99Ms: open.p99Ms,
    openP50Ms: open.p50Ms,
    oneCallerP99Ms: oneCaller.p99Ms,
    oneCallerP50Ms: oneCaller.p50Ms,
    errors: closed.errors + open.errors + oneCaller.errors,
    generatorCores: closed.generatorCores,
  };
}

async function sendLoad(
  url: string,
  key: string,
  callers: number,
  durationMs: number,
): Promise<LoadResult> {
  const ratePerSecond = OPEN_RATE_PER_SECOND;
  const warmUpMs = LOAD_WARM_UP_MS;
  const timing = {ratePerSecond, durationMs, warmUpMs};
  const options = {url, key, callers, ...timing};
  const child = ChildProcess.start(processScript, [
    'load',
    JSON.stringify(options),
  ]);
  const result = loadResultSchema.parse(await child.readFirstLine<unknown>());
  await child.waitForExit();
  return result;
}

function buildReport(
  results: ReadonlyMap<string, ForwarderSpeed[]>,
  options: PathSpeedOptions,
): PathSpeedReport {
  const forwarders = [...results].map(([name, speeds]) =>
    medianSpeed(name, speeds),
  );
  const byName = new Map(forwarders.map(speed => [speed.name, speed]));
  const direct = byName.get('direct')!;
  const moleculerWeb = byName.get('moleculer-web')!;
  const daemon = byName.get('fireflytrackd')!;
  return {
    scenario: 'path-speed',
    rounds: options.rounds,
    forwarders,
    throughputRatio: daemon.requestsPerSecond / moleculerWeb.requestsPerSecond,
    addedP99Ms: daemon.openP99Ms - direct.openP99Ms,
    baseline: {addedP99Ms: moleculerWeb.openP99Ms - direct.openP99Ms},
  };
}

function medianSpeed(
  name: string,
  speeds: readonly ForwarderSpeed[],
): ForwarderSpeed {
  const median = (pick: (speed: ForwarderSpeed) => number) => {
    const sorted = speeds.map(pick).sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)]!;
  };
  return {
    name,
    requestsPerSecond: median(speed => speed.requestsPerSecond),
    openP99Ms: median(speed => speed.openP99Ms),
    openP50Ms: median(speed => speed.openP50Ms),
    oneCallerP99Ms: median(speed => speed.oneCallerP99Ms),
    oneCallerP50Ms: median(speed => speed.oneCallerP50Ms),
    errors: speeds.reduce((sum, speed) => sum + speed.errors, 0),
    generatorCores: median(speed => speed.generatorCores),
  };
}

async function configureFleet(
  fleet: LocalFleet,
  backendUrl: string,
): Promise<string> {
  const file = fleet.writeConfiguration(renderConfiguration(backendUrl));
  await retryUntilSuccess(() => fleet.runCommand('apply', file, '--base', '0'));
  const key = await fleet.runCommand('keys', 'issue', TEAM);
  await fleet.waitUntilReady();
  const url = `${fleet.instances[0]!.entryUrl}/readings/1`;
  await retryUntilSuccess(async () => {
    const headers = {authorization: `Bearer ${key}`};
    const response = await request(url, {headers});
    await response.body.dump();
    if (response.statusCode !== 200) throw new Error(`${response.statusCode}`);
  });
  return key;
}

async function retryUntilSuccess<T>(action: () => Promise<T>): Promise<T> {
  for (let retriesLeft = MAX_RETRIES; ; retriesLeft -= 1) {
    try {
      return await action();
    } catch (error) {
      if (retriesLeft === 0) throw error;
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }
}

function renderConfiguration(backendUrl: string): string {
  const target = `${new URL(backendUrl).host}@nord-1`;
  return `[fleet]
schema_version = 1
name = speed
max_instances = 1

[service.counting]
targets = ${target}
slots = 1000
connections = 360
capacity_floor = 0.5

[route.readings]
service = counting
path = /readings/*
methods = GET
execution = idempotent
teams = *

[team.${TEAM}]
rate_per_second = 1000000
burst_tokens = 1000000
`;
}
