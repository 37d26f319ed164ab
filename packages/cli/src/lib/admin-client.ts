/** Client of the administration API of one instance. */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {request} from 'undici';
import {z} from 'zod';

export interface AdminClientOptions {
  /** Base address, such as `http://127.0.0.1:8100`. */
  url: string;
  token: string;
}

export interface AdminFailure {
  /** HTTP status; 0 if no response was received. */
  status: number;
  message: string;
  /** JSON body of the error response; empty if there is none. */
  body: Record<string, unknown>;
}

const TIMEOUT_MS = 10_000;
const objectSchema = z.record(z.string(), z.unknown());

export class AdminClient {
  private constructor(private readonly options: AdminClientOptions) {}

  static create(options: AdminClientOptions): AdminClient {
    return new AdminClient(options);
  }

  /** Calls an operation and parses its response with `schema`. */
  async call<T>(
    schema: z.ZodType<T>,
    method: 'GET' | 'PUT' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<Result<T, AdminFailure>> {
    const {url, token} = this.options;
    try {
      const response = await request(`${url}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${token}`,
          'content-type': 'application/json',
        },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      const text = await response.body.text();
      return parseResponse(schema, response.statusCode, text);
    } catch (error) {
      const message = `${url}: ${describeError(error)}`;
      return Err({status: 0, message, body: {}});
    }
  }
}

function parseResponse<T>(
  schema: z.ZodType<T>,
  status: number,
  text: string,
): Result<T, AdminFailure> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    json = undefined;
  }
  if (status < 300) {
    const parsed = schema.safeParse(json);
    if (parsed.success) return Ok(parsed.data);
  }
  const body = objectSchema.safeParse(json).data ?? {};
  const fallback = `unexpected response with status ${status}`;
  return Err({status, message: String(body['error'] ?? fallback), body});
}

function describeError(error: unknown): string {
  const {code, message} = error as NodeJS.ErrnoException;
  if (code === 'ECONNREFUSED') return 'connection refused';
  return message || code || String(error);
}
