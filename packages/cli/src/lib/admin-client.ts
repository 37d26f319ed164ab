/** Calls the administration API of one instance. */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {request} from 'undici';

export interface AdminClientOptions {
  /** Base address, such as `http://127.0.0.1:8100`. */
  url: string;
  token: string;
}

export interface AdminFailure {
  /** 0 when no answer came. */
  status: number;
  message: string;
  body: Record<string, unknown>;
}

export type AdminBody = Record<string, unknown>;

const TIMEOUT_MS = 10_000;

export class AdminClient {
  private constructor(private readonly options: AdminClientOptions) {}

  static create(options: AdminClientOptions): AdminClient {
    return new AdminClient(options);
  }

  async call(
    method: 'GET' | 'PUT' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<Result<AdminBody, AdminFailure>> {
    try {
      const answer = await request(`${this.options.url}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${this.options.token}`,
          'content-type': 'application/json',
        },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      const parsed = (await answer.body.json()) as AdminBody;
      if (answer.statusCode < 300) return Ok(parsed);
      const message = String(parsed['error'] ?? answer.statusCode);
      return Err({status: answer.statusCode, message, body: parsed});
    } catch (error) {
      return Err({status: 0, message: String(error), body: {}});
    }
  }
}
