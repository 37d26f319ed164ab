/**
 * HTTP transport to the platform's services, based on undici.
 *
 * A failure before the request was sent is `unavailable`; any later failure is
 * `outcome-unknown`, because a write may have taken effect.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {Pool, errors} from 'undici';
import {platformError} from './platform-error.js';
import type {PlatformError} from './platform-error.js';

export interface HttpPlatformOptions {
  /** Base address, such as `http://127.0.0.1:7000`. */
  baseUrl: string;
  /** Limit on one call, from sending to the end of the response body. */
  timeoutMs: number;
}

export interface PlatformResponse {
  status: number;
  body: Buffer;
}

const MAX_CONNECTIONS = 4;

export class HttpPlatformClient {
  private constructor(
    private readonly pool: Pool,
    private readonly timeoutMs: number,
  ) {}

  static create(options: HttpPlatformOptions): HttpPlatformClient {
    const pool = new Pool(options.baseUrl, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connect: {timeout: options.timeoutMs},
    });
    return new HttpPlatformClient(pool, options.timeoutMs);
  }

  async request(
    method: 'GET' | 'PUT' | 'POST',
    path: string,
    body?: string | Uint8Array,
  ): Promise<Result<PlatformResponse, PlatformError>> {
    try {
      const response = await this.pool.request({
        method,
        path,
        body: body ?? null,
        headers: {'content-type': 'application/json'},
        signal: AbortSignal.timeout(this.timeoutMs),
      });
      const bytes = Buffer.from(await response.body.arrayBuffer());
      return this.toResult(response.statusCode, bytes);
    } catch (error) {
      return Err(platformError(classifyFailure(error), String(error)));
    }
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private toResult(
    status: number,
    body: Buffer,
  ): Result<PlatformResponse, PlatformError> {
    // The service responds with 503 only when the request had no effect.
    if (status === 503) {
      return Err(platformError('unavailable', 'platform answered 503'));
    }
    if (status >= 500) {
      return Err(platformError('outcome-unknown', `platform: ${status}`));
    }
    return Ok({status, body});
  }
}

function classifyFailure(error: unknown): PlatformError['kind'] {
  const code = (error as NodeJS.ErrnoException).code;
  const neverSent =
    code === 'ECONNREFUSED' || error instanceof errors.ConnectTimeoutError;
  return neverSent ? 'unavailable' : 'outcome-unknown';
}
