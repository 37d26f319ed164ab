/**
 * The entry of a gateway as a process of its own, whose servers are simulated.
 * The test runner traces each asynchronous operation of its own process, which
 * takes more memory than the entry.
 */
import {CallerConnections} from '@fireflytrack/callers';
import {PolicyTable, parsePolicyText} from '@fireflytrack/policy';
import {RateLimitedLog, createLogger} from '@fireflytrack/telemetry';
import type {RunOptions, UpstreamOutcome} from '@fireflytrack/upstream';
import {expect} from 'earl';
import moleculer from 'moleculer';
import {addAbortSignal} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import {BodyMemory} from '../lib/body-memory.js';
import {CallerServer} from '../lib/caller-server.js';
import {GatewayMetrics} from '../lib/gateway-metrics.js';
import type {PolicyHolder} from '../lib/policy-holder.js';
import {RequestHandler} from '../lib/request-handler.js';
import type {RequestHandlerOptions} from '../lib/request-handler.js';
import {freePort} from './free-port.js';
import {policyText} from './policy-text.js';

/** Sent when the entry has started, and in response to each message. */
export interface EntryState {
  port: number;
  connections: number;
  residentBytes: number;
}

const BODY_MEMORY_BYTES = 64_000_000;
const MAX_BODY_BYTES = 4_000_000;
const SLOW_MS = 200;

/** Reads the request up to its deadline, and answers or refuses it. */
async function runAtServer(options: RunOptions): Promise<UpstreamOutcome> {
  const {request, deadlineAtMs} = options;
  const noAttempts = {attempts: [], turnedAway: []};
  if (request.target.endsWith('slow')) await delay(SLOW_MS);
  if (request.target.endsWith('broken')) throw new Error('internal fault');
  if (request.target.endsWith('refused')) {
    return {kind: 'not-run', reason: 'no server has room', ...noAttempts};
  }
  if (request.body.kind === 'stream') {
    const waitMs = Math.max(0, Math.ceil(deadlineAtMs - performance.now()));
    const signal = AbortSignal.timeout(waitMs);
    const stream = addAbortSignal(signal, request.body.stream);
    try {
      for await (const chunk of stream) expect(chunk.length > 0);
    } catch (error) {
      if (signal.aborted) return {kind: 'deadline', ...noAttempts};
      return {kind: 'unknown', reason: String(error), ...noAttempts};
    }
  }
  return {
    kind: 'answered',
    response: {kind: 'buffered', status: 200, headers: [], body: Buffer.of()},
    serverId: 's1',
    ...noAttempts,
  };
}

async function startEntry(): Promise<void> {
  const table = PolicyTable.create(
    parsePolicyText(
      policyText({maxBodyBytes: MAX_BODY_BYTES}),
      'policy.ini',
    ).unwrap(),
  );
  const policies = {
    current: () => table,
    lease: {ageMs: () => 0},
    ensureFresh: async () => true,
  } as unknown as PolicyHolder;
  const connections = CallerConnections.create();
  const logger = createLogger({level: 'error', silent: true});
  const options = {
    connections,
    policies,
    upstream: {run: runAtServer},
    bodyMemory: BodyMemory.create(BODY_MEMORY_BYTES),
    limiter: {admit: async () => ({admitted: true}), refund: () => {}},
    headerNames: {
      requestId: 'request-id',
      deadlineMs: 'deadline-ms',
      expectedServer: 'expected-server',
      team: 'team',
      notExecuted: 'not-run',
      signature: 'signature',
    },
    keyHeader: 'authorization',
    keyScheme: 'Token',
    keyFreshnessMs: 1000,
    denialFreshnessMs: 1000,
    metrics: GatewayMetrics.create({
      requestsInFlight: () => 0,
      policyVersion: () => 1,
      policyNotices: () => 0,
      isPolicyUnreadable: () => false,
      policyAgeSeconds: () => 0,
      servers: () => 1,
      serverBeliefs: () => ({
        suspected: 0,
        failing: 0,
        onTrial: 0,
        trusted: 1,
      }),
      serversReadmitted: () => 0,
      serversLimited: () => 0,
      turnedAway: () => 0,
      withdrawn: () => 0,
      requestSuspects: () => ({suspected: 0, held: 0}),
      heldBack: () => 0,
      isZoneLeader: () => false,
      storeCalls: () => new Map(),
      bodyMemoryBytes: () => 0,
    }),
    log: RateLimitedLog.create({logger, linesPerSecond: 5}),
  } as unknown as RequestHandlerOptions;
  const handler = RequestHandler.create(options);
  const broker = new moleculer.ServiceBroker({
    logger: false,
    skipProcessEventRegistration: true,
  });
  const port = await freePort();
  CallerServer.create(broker, {
    host: '127.0.0.1',
    port,
    connections,
    handle: (request, response) => handler.handle(request, response),
  });
  await broker.start();
  const reportState = () => {
    const state: EntryState = {
      port,
      connections: connections.size,
      residentBytes: process.memoryUsage.rss(),
    };
    process.send!(state);
  };
  process.on('message', reportState);
  process.on('disconnect', () => process.exit());
  reportState();
}

await startEntry();
