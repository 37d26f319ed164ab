/**
 * An HTTP stand-in for a backend server. It simulates limited slots, connection
 * setup cost, cold start, draining, load shedding, delayed health and load
 * reports, and gray faults.
 */
import {createHash} from 'node:crypto';
import {z} from 'zod';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {
  closeServer,
  listen,
  portOf,
  readBody,
  sendJson,
} from './http-server.js';

/** `slow`: 10 times the service time. `wrong`: one response in three corrupted. */
export type BackendFault = 'none' | 'slow' | 'wrong' | 'errors';

export interface BackendOptions {
  port: number;
  slots: number;
  serviceTimeMs: number;
  /** Added to the first response on a new connection. */
  connectionCostMs: number;
  /** For this long after startup, responses take three times as long. */
  coldStartMs: number;
  /** Update interval, and so the largest age, of the health and load reports. */
  reportLagMs: number;
}

const SLOW_FACTOR = 10;
const COLD_FACTOR = 3;
const WRONG_RESPONSE_INTERVAL = 3;
// A request is shed when this many requests per slot are queued already.
const MAX_QUEUED_PER_SLOT = 8;

interface LoadReport {
  state: 'up' | 'draining' | 'cold';
  slotsInUse: number;
}

export class BackendStandIn {
  fault: BackendFault = 'none';
  draining = false;
  /** Number of executions by idempotency key, for requests that carry one. */
  readonly executions = new Map<string, number>();
  /** Target and header lines of every request, to check for leaked team keys. */
  readonly receivedRequests: string[] = [];
  private server: Server | undefined;
  private slotsInUse = 0;
  private servedCount = 0;
  private startedAtMs = 0;
  private readonly queue: (() => void)[] = [];
  private lastReport: LoadReport = {state: 'up', slotsInUse: 0};
  private reportTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: BackendOptions) {}

  static create(options: BackendOptions): BackendStandIn {
    return new BackendStandIn(options);
  }

  async start(): Promise<void> {
    this.server = await listen(
      (request, response) => this.handle(request, response),
      this.options.port,
    );
    this.startedAtMs = performance.now();
    this.reportTimer = setInterval(
      () => this.updateReport(),
      Math.max(1, this.options.reportLagMs),
    );
  }

  port(): number {
    return portOf(this.server!);
  }

  async stop(): Promise<void> {
    clearInterval(this.reportTimer);
    if (this.server) await closeServer(this.server);
  }

  private updateReport(): void {
    const state = this.draining ? 'draining' : this.isCold() ? 'cold' : 'up';
    this.lastReport = {state, slotsInUse: this.slotsInUse};
  }

  private isCold(): boolean {
    return performance.now() - this.startedAtMs < this.options.coldStartMs;
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === '/health') {
      sendJson(response, 200, {state: this.lastReport.state});
      return;
    }
    if (request.url === '/control') {
      await this.handleControl(request, response);
      return;
    }
    if (request.url === '/load') {
      const {slotsInUse} = this.lastReport;
      sendJson(response, 200, {slots: this.options.slots, slotsInUse});
      return;
    }
    this.receivedRequests.push(
      `${request.url}\n${request.rawHeaders.join('\n')}`,
    );
    const body = await readBody(request);
    if (this.draining) return this.decline(response, 'x-draining');
    if (this.queue.length >= this.options.slots * MAX_QUEUED_PER_SLOT) {
      return this.decline(response, 'x-shed');
    }
    await this.acquireSlot();
    try {
      await this.serve(request, response, body);
    } finally {
      this.releaseSlot();
    }
  }

  /** PUT sets faults; every method returns executions and received requests. */
  private async handleControl(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === 'PUT') {
      const text = (await readBody(request)).toString('utf8');
      const control = controlSchema.parse(JSON.parse(text));
      this.fault = control.fault ?? this.fault;
      this.draining = control.draining ?? this.draining;
    }
    const executions = Object.fromEntries(this.executions);
    sendJson(response, 200, {executions, seen: this.receivedRequests});
  }

  private decline(response: ServerResponse, header: string): void {
    response.setHeader('x-not-run', '1');
    response.setHeader(header, '1');
    response.setHeader('retry-after', '1');
    sendJson(response, 503, {error: 'not run'});
  }

  private async acquireSlot(): Promise<void> {
    if (this.slotsInUse >= this.options.slots) {
      await new Promise<void>(resolve => this.queue.push(resolve));
    }
    this.slotsInUse += 1;
  }

  private releaseSlot(): void {
    this.slotsInUse -= 1;
    this.queue.shift()?.();
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): Promise<void> {
    const key = request.headers['idempotency-key'];
    if (typeof key === 'string') {
      this.executions.set(key, (this.executions.get(key) ?? 0) + 1);
    }
    let durationMs = this.options.serviceTimeMs;
    if (isNewConnection(request)) durationMs += this.options.connectionCostMs;
    if (this.isCold()) durationMs *= COLD_FACTOR;
    if (this.fault === 'slow') durationMs *= SLOW_FACTOR;
    await new Promise(resolve => setTimeout(resolve, durationMs));
    this.servedCount += 1;
    if (this.fault === 'errors') {
      sendJson(response, 500, {error: 'internal'});
      return;
    }
    this.sendResponse(request, response, body);
  }

  private sendResponse(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): void {
    const requestId = String(request.headers['x-request-id'] ?? '');
    const corrupt =
      this.fault === 'wrong' &&
      this.servedCount % WRONG_RESPONSE_INTERVAL === 0;
    const text = JSON.stringify({
      path: request.url,
      team: request.headers['x-team'],
      received: body.length,
    });
    const digest = createHash('sha256').update(text).digest('base64');
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      'content-digest': `sha-256=:${digest}:`,
      'x-request-id': requestId,
    });
    response.end(corrupt ? text.replace('path', 'htap') : text);
  }
}

const controlSchema = z.object({
  fault: z.enum(['none', 'slow', 'wrong', 'errors']).optional(),
  draining: z.boolean().optional(),
});

const usedConnections = new WeakSet<object>();

function isNewConnection(request: IncomingMessage): boolean {
  if (usedConnections.has(request.socket)) return false;
  usedConnections.add(request.socket);
  return true;
}
