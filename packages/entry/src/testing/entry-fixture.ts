/** Runs an entry gateway in the test process, in front of test backends. */
import {parseConfigurationText} from '@fireflytrack/configuration';
import type {
  ConfigurationSource,
  KeyStore,
  VersionedConfiguration,
} from '@fireflytrack/configuration';
import {RandomSelector} from '@fireflytrack/health';
import {FixedMembership} from '@fireflytrack/membership';
import {TableOnceRegistry} from '@fireflytrack/once';
import {MemoryTable} from '@fireflytrack/platform';
import {Err, Ok} from '@fireflytrack/result';
import {DisabledMetrics, createLogger} from '@fireflytrack/telemetry';
import {MemoryNetwork} from '@fireflytrack/wire';
import moleculer from 'moleculer';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {
  EntryGateway,
  Forwarder,
  AlwaysServingGate,
  RequestPath,
  UnboundedQueue,
  UnlimitedRetries,
} from '../index.js';

export const KEY = `fft_${'a'.repeat(16)}_${'b'.repeat(48)}`;
export const TEAM = 'tills';

/** Starts a TCP server on loopback and passes each connection to `serve`. */
export async function rawServer(
  serve: (socket: Socket) => void,
): Promise<{server: Server; port: number}> {
  const server = createServer(socket => {
    socket.on('error', () => {});
    serve(socket);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {server, port: (server.address() as AddressInfo).port};
}

/**
 * Creates a connection handler that sends the same response for every received
 * chunk and, with `close`, ends the connection after the first one.
 */
export function fixedResponse(
  head: string,
  body: string,
  close = false,
): (socket: Socket) => void {
  return socket => {
    socket.on('data', () => {
      socket.write(`${head}\r\n\r\n${body}`);
      if (close) socket.end();
    });
  };
}

export interface EntryFixture {
  url: string;
  port: number;
  withdraw(): void;
  beginStop(): void;
  /** Requests that a planned stop waits for. */
  requestsInFlight(): number;
  close(): Promise<void>;
}

export interface EntryFixtureOptions {
  /** Replaces the forwarder, for comparisons. */
  forwarder?: Forwarder;
}

export async function startEntry(
  ports: number[],
  options: EntryFixtureOptions = {},
): Promise<EntryFixture> {
  const targets = ports.map(port => `127.0.0.1:${port}@zone-a`).join(', ');
  const configuration = parseConfigurationText(
    buildConfigurationText(targets),
    'test',
  ).unwrap();
  const current = {version: 1, configuration};
  const listeners: ((keyId: string) => void)[] = [];
  let withdrawn = false;
  const source: ConfigurationSource = {
    current: () => current,
    onChange: (listener: (value: VersionedConfiguration) => void) =>
      listener(current),
  };
  const keys: KeyStore = {
    authenticate: key => {
      if (key !== KEY) return Err({kind: 'unknown'});
      if (withdrawn) return Err({kind: 'withdrawn'});
      return Ok({keyId: 'key', teamName: TEAM});
    },
    onWithdrawn: listener => listeners.push(listener),
  };
  const logger = createLogger({level: 'error', silent: true});
  const self = {instanceId: 'a', availabilityZone: 'zone-a', region: 'r'};
  const once = TableOnceRegistry.create({
    table: MemoryTable.create(),
    network: MemoryNetwork.create().join(self),
    membership: FixedMembership.create(self, []),
    logger,
  });
  const forwarder = options.forwarder ?? Forwarder.create();
  const requestPath = RequestPath.create({
    source,
    keys,
    limiter: {admit: () => ({admitted: true})},
    queue: UnboundedQueue.create(),
    selector: RandomSelector.create(source),
    retries: UnlimitedRetries.create(),
    once,
    forwarder,
    gate: AlwaysServingGate.create(),
    logger,
    metrics: DisabledMetrics.create(),
  });
  const broker = new moleculer.ServiceBroker({logger: false});
  const {server, port} = await rawServer(() => {});
  await new Promise<void>(resolve => server.close(() => resolve()));
  const entry = {host: '127.0.0.1', port};
  const gateway = EntryGateway.create(broker, requestPath, entry);
  await broker.start();
  return {
    url: `http://127.0.0.1:${port}`,
    port,
    withdraw() {
      withdrawn = true;
      for (const listener of listeners) listener('key');
    },
    beginStop: () => gateway.beginStop(),
    requestsInFlight: () => requestPath.requestsInFlight,
    async close() {
      await forwarder.close();
      await broker.stop();
    },
  };
}

function buildConfigurationText(targets: string): string {
  return `[fleet]
schema_version = 1
name = test
max_instances = 1

[service.stock]
targets = ${targets}
slots = 4
connections = 16
capacity_floor = 0.5

[route.lookup]
service = stock
path = /stock/*
methods = GET, POST
execution = idempotent
teams = *
deadline_ms = 1000
max_body_bytes = 1000000

[route.order]
service = stock
path = /orders
methods = POST
execution = once
teams = *
deadline_ms = 1000
max_body_bytes = 1000

[team.${TEAM}]
rate_per_second = 100
burst_tokens = 100
`;
}
