/** Calls the administration API of one instance. */
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
  /** 0 when no answer came. */
  status: number;
  message: string;
  body: Record<string, unknown>;
}

const TIMEOUT_MS = 10_000;
const objectSchema = z.record(z.string(), z.unknown());

export class AdminClient {
  private constructor(private readonly options: AdminClientOptions) {}

  static create(options: AdminClientOptions): AdminClient {
    return new AdminClient(options);
  }

  /** Calls an operation and parses its answer by `schema`. */
  async call<T>(
    schema: z.ZodType<T>,
    method: 'GET' | 'PUT' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<Result<T, AdminFailure>> {
    const {url, token} = this.options;
    try {
      const answer = await request(`${url}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${token}`,
          'content-type': 'application/json',
        },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      const text = await answer.body.text();
      return parseAnswer(schema, answer.statusCode, text);
    } catch (error) {
      const message = `${url}: ${reasonOf(error)}`;
      return Err({status: 0, message, body: {}});
    }
  }
}

function parseAnswer<T>(
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
  const fallback = `unexpected answer with status ${status}`;
  return Err({status, message: String(body['error'] ?? fallback), body});
}

function reasonOf(error: unknown): string {
  const {code, message} = error as NodeJS.ErrnoException;
  if (code === 'ECONNREFUSED') return 'connection refused';
  return message || code || String(error);
}
