/**
 * A caller that sends bytes without end to the entry of a gateway, whose servers
 * are simulated.
 */
import {PolicyTable, parsePolicyText} from '@fireflytrack/policy';
import {RateLimitedLog, createLogger} from '@fireflytrack/telemetry';
import type {RunOptions, UpstreamOutcome} from '@fireflytrack/upstream';
import {expect} from 'earl';
import moleculer from 'moleculer';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {CallerConnections} from '../lib/caller-connection.js';
import {CallerServer} from '../lib/caller-server.js';
import {GatewayMetrics} from '../lib/gateway-metrics.js';
import type {PolicyHolder} from '../lib/policy-holder.js';
import {RequestHandler} from '../lib/request-handler.js';
import type {RequestHandlerOptions} from '../lib/request-handler.js';
import {freePort} from './free-port.js';
import {policyText} from './policy-text.js';

const TIMEOUT_MS = 1000;
const CLOSE_WITHIN_MS = 2000;
const MAX_MEMORY_GROWTH_BYTES = 64 * 1024 * 1024;
const MAX_BODY_BYTES = 4_000_000;
const PIECE_BYTES = 65_536;
const SLOW_MS = 200;

/** Head of a request; `framing` holds further header lines. */
export function head(path: string, framing = ''): string {
  return (
    `POST ${path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n` +
    `${framing}\r\n`
  );
}

export interface EndlessRequest {
  start: string;
  piece: string;
  /** Statuses that are true of the request. */
  statuses: number[];
}

/** Reads the request as a connection to a server would, and answers it. */
async function runAtServer(options: RunOptions): Promise<UpstreamOutcome> {
  const {body} = options.request;
  const attempts: [] = [];
  if (options.request.target.endsWith('slow')) await delay(SLOW_MS);
  if (body.kind === 'stream') {
    try {
      for await (const chunk of body.stream) expect(chunk.length > 0);
    } catch (error) {
      return {kind: 'unknown', reason: String(error), attempts, turnedAway: []};
    }
  }
  return {
    kind: 'answered',
    response: {kind: 'buffered', status: 200, headers: [], body: Buffer.of()},
    serverId: 's1',
    attempts,
    turnedAway: [],
  };
}

export class EndlessCaller {
  private readonly sockets: Socket[] = [];

  private constructor(
    private readonly broker: moleculer.ServiceBroker,
    readonly connections: CallerConnections,
    private readonly port: number,
  ) {}

  /** Starts the entry of a gateway. */
  static async start(): Promise<EndlessCaller> {
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
        isZoneLeader: () => false,
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
    return new EndlessCaller(broker, connections, port);
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets.splice(0)) socket.destroy();
    await this.broker.stop();
  }

  /** Checks that the request gets a true response and fills no memory. */
  async check(request: EndlessRequest): Promise<void> {
    const memoryBefore = process.memoryUsage().rss;
    const received = this.sendWithoutEnd(request);
    await delay(100);
    const startedAtMs = performance.now();
    expect((await this.sendRequest()).slice(9, 12)).toEqual('200');
    expect(performance.now() - startedAtMs < TIMEOUT_MS).toEqual(true);
    const text = await received;
    const status = Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1]);
    expect(request.statuses.includes(status)).toEqual(true);
    this.sockets.at(-1)!.destroy();
    await delay(50);
    expect(this.connections.size).toEqual(0);
    const growth = process.memoryUsage().rss - memoryBefore;
    expect(growth < MAX_MEMORY_GROWTH_BYTES).toEqual(true);
  }

  /** Sends `piece` until the connection closes; returns what was received. */
  async sendWithoutEnd(request: EndlessRequest): Promise<string> {
    const socket = connect(this.port, '127.0.0.1');
    this.sockets.push(socket);
    const {start, piece} = request;
    const bytes = Buffer.from(
      piece.repeat(Math.ceil(PIECE_BYTES / piece.length)),
    );
    let received = '';
    socket.on('data', chunk => (received += String(chunk)));
    // A reset is how a connection with unread bytes ends.
    socket.on('error', () => {});
    const closed = new Promise<void>(resolve => socket.once('close', resolve));
    const more = () => {
      if (socket.destroyed) return;
      if (socket.write(bytes)) setImmediate(more);
      else socket.once('drain', () => setImmediate(more));
    };
    socket.write(start);
    more();
    await Promise.race([closed, delay(TIMEOUT_MS + CLOSE_WITHIN_MS)]);
    return received;
  }

  private sendRequest(): Promise<string> {
    return new Promise((resolve, reject) => {
      const socket = connect(this.port, '127.0.0.1');
      this.sockets.push(socket);
      socket.on('error', reject);
      socket.once('data', chunk => resolve(String(chunk)));
      socket.write(head('/reads/1', 'Content-Length: 0\r\n'));
    });
  }
}
