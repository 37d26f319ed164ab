/** HTTP stand-in for the platform: table, object store and instance list. */
import {
  MemoryInstanceList,
  MemoryObjectStore,
  MemoryTable,
  listedInstanceSchema,
  tableOperationSchema,
} from '@fireflytrack/platform';
import type {PlatformError} from '@fireflytrack/platform';
import type {Result} from '@fireflytrack/result';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {z} from 'zod';
import {
  closeServer,
  listen,
  portOf,
  readBody,
  sendJson,
} from './http-server.js';

export interface PlatformServerOptions {
  port: number;
}

const batchSchema = z.object({
  operations: z.array(tableOperationSchema),
  atomic: z.boolean(),
});

const controlSchema = z.object({
  unavailable: z.boolean().optional(),
  lostAnswers: z.number().int().nonnegative().optional(),
  delayMs: z.number().nonnegative().optional(),
  /** Ids of instances to remove from the instance list. */
  ended: z.array(z.string()).optional(),
});

export class PlatformServer {
  readonly table = MemoryTable.create();
  readonly objects = MemoryObjectStore.create();
  readonly instances = MemoryInstanceList.create();
  private server: Server | undefined;

  private constructor(private readonly options: PlatformServerOptions) {}

  static create(options: PlatformServerOptions): PlatformServer {
    return new PlatformServer(options);
  }

  async start(): Promise<void> {
    this.server = await listen(
      (request, response) => this.handle(request, response),
      this.options.port,
    );
  }

  port(): number {
    return portOf(this.server!);
  }

  async stop(): Promise<void> {
    if (this.server) await closeServer(this.server);
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://platform');
    const {pathname} = url;
    if (pathname.startsWith('/v1/table/rows/')) {
      const row = await this.table.get(lastSegment(pathname));
      this.sendResult(response, row, value => value ?? undefined);
    } else if (pathname === '/v1/table/rows') {
      const prefix = url.searchParams.get('prefix') ?? '';
      const limit = Number(url.searchParams.get('limit') ?? 1000);
      const rows = await this.table.scan(prefix, limit);
      this.sendResult(response, rows, value => ({rows: value}));
    } else if (pathname === '/v1/table/batch') {
      await this.handleBatch(request, response);
    } else if (pathname.startsWith('/v1/objects/')) {
      await this.handleObject(request, response, lastSegment(pathname));
    } else if (pathname === '/control') {
      await this.handleControl(request, response);
    } else if (pathname === '/v1/instances') {
      await this.handleInstances(request, response);
    } else {
      sendJson(response, 404, {error: 'unknown path'});
    }
  }

  private async handleBatch(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readBody(request)).toString('utf8');
    const {operations, atomic} = batchSchema.parse(JSON.parse(body));
    const results = await this.table.batch(operations, {atomic});
    this.sendResult(response, results, value => ({results: value}));
  }

  private async handleObject(
    request: IncomingMessage,
    response: ServerResponse,
    key: string,
  ): Promise<void> {
    if (request.method === 'PUT') {
      const stored = await this.objects.put(key, await readBody(request));
      this.sendResult(response, stored, () => ({}));
      return;
    }
    const bytes = await this.objects.get(key);
    if (bytes.err || bytes.val === undefined) {
      this.sendResult(response, bytes, () => undefined);
      return;
    }
    response.writeHead(200, {'content-length': bytes.val.length});
    response.end(bytes.val);
  }

  /** Sets faults: an outage, a delay, responses lost after the operation ran. */
  private async handleControl(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const text = (await readBody(request)).toString('utf8');
    const control = controlSchema.parse(JSON.parse(text));
    this.table.unavailable = control.unavailable ?? this.table.unavailable;
    this.objects.unavailable = control.unavailable ?? this.objects.unavailable;
    this.table.lostAnswers = control.lostAnswers ?? this.table.lostAnswers;
    this.table.delayMs = control.delayMs ?? this.table.delayMs;
    for (const instanceId of control.ended ?? []) {
      this.instances.remove(instanceId);
    }
    sendJson(response, 200, {});
  }

  private async handleInstances(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === 'POST') {
      const body = (await readBody(request)).toString('utf8');
      this.instances.set(listedInstanceSchema.parse(JSON.parse(body)));
      sendJson(response, 200, {});
      return;
    }
    const instances = await this.instances.list();
    this.sendResult(response, instances, value => ({instances: value}));
  }

  /**
   * Sends a result as JSON, or 404 if `toBody` returns undefined. An unknown
   * outcome closes the connection; other errors are sent as 503.
   */
  private sendResult<T>(
    response: ServerResponse,
    result: Result<T, PlatformError>,
    toBody: (value: T) => unknown,
  ): void {
    if (result.err) {
      if (result.val.kind === 'outcome-unknown') response.destroy();
      else sendJson(response, 503, {error: result.val.message});
      return;
    }
    const body = toBody(result.val);
    if (body === undefined) sendJson(response, 404, {error: 'not found'});
    else sendJson(response, 200, body);
  }
}

function lastSegment(pathname: string): string {
  return decodeURIComponent(pathname.slice(pathname.lastIndexOf('/') + 1));
}
