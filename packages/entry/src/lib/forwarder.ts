/**
 * Forwards one attempt of a request to one backend server with undici.
 *
 * Connections are pooled per server without pipelining, and nothing is retried
 * here. An attempt records whether undici began to write it, which determines
 * whether a failed request certainly did not run.
 */
import type {BackendServer} from '@fireflytrack/configuration';
import type {ServerResponse} from 'node:http';
import {Pool} from 'undici';
import {AttemptHandler} from './attempt-handler.js';
import type {AttemptResult} from './attempt-result.js';
import type {RequestBody} from './request-body.js';
import type {ResponseOwner} from './response-owner.js';

export interface ForwardRequest {
  requestId: string;
  method: string;
  /** Path and query. */
  target: string;
  headers: Record<string, string>;
  body: RequestBody;
  deadlineAtMs: number;
  answerContentType: string | undefined;
  /** Buffers the complete response; otherwise large responses are streamed. */
  bufferResponse: boolean;
}

export interface Attempt {
  result: Promise<AttemptResult>;
  /** Cancels the attempt and closes its connection. */
  cancel(): void;
}

const CONNECT_TIMEOUT_MS = 1000;
// Shorter than the usual idle timeout of servers (5 s), so that a request is
// rarely written to a connection that the server is closing.
const KEEP_ALIVE_MS = 4000;

export class Forwarder {
  private readonly pools = new Map<string, Pool>();

  private constructor() {}

  static create(): Forwarder {
    return new Forwarder();
  }

  /** Starts an attempt; a large response is streamed to `response`. */
  startAttempt(
    server: BackendServer,
    connections: number,
    request: ForwardRequest,
    response: ServerResponse,
    owner: ResponseOwner,
  ): Attempt {
    const handler = AttemptHandler.create(request, response, owner);
    const remainingMs = Math.max(1, request.deadlineAtMs - performance.now());
    const headers: Record<string, string> = {
      ...request.headers,
      'x-request-id': request.requestId,
      'x-deadline-ms': String(Math.ceil(remainingMs)),
    };
    const {body} = request;
    this.getOrCreatePool(server, connections).dispatch(
      {
        method: request.method as 'GET',
        path: request.target,
        headers,
        body:
          body.kind === 'buffered'
            ? body.bytes
            : body.kind === 'stream'
              ? body.stream
              : null,
        idempotent: false,
      },
      handler,
    );
    return {result: handler.result, cancel: () => handler.cancel()};
  }

  /** Closes the pools of servers whose ids are not in `keptIds`. */
  closeOtherPools(keptIds: ReadonlySet<string>): void {
    for (const [serverId, pool] of this.pools) {
      if (keptIds.has(serverId)) continue;
      this.pools.delete(serverId);
      void pool.close();
    }
  }

  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  private getOrCreatePool(server: BackendServer, connections: number): Pool {
    let pool = this.pools.get(server.serverId);
    if (!pool) {
      const host = server.host.includes(':') ? `[${server.host}]` : server.host;
      pool = new Pool(`http://${host}:${server.port}`, {
        connections,
        pipelining: 1,
        connect: {timeout: CONNECT_TIMEOUT_MS},
        keepAliveTimeout: KEEP_ALIVE_MS,
        // Each attempt has its own deadline.
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      this.pools.set(server.serverId, pool);
    }
    return pool;
  }
}
