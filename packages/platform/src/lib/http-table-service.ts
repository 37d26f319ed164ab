/** Client of the platform's table service over HTTP with JSON bodies. */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {z} from 'zod';
import type {HttpPlatformClient} from './http-platform-client.js';
import {platformError} from './platform-error.js';
import type {PlatformError} from './platform-error.js';
import {tableRowSchema} from './table-service.js';
import type {
  BatchOptions,
  TableOperation,
  TableOperationResult,
  TableRow,
  TableService,
} from './table-service.js';

const scanResponseSchema = z.object({rows: z.array(tableRowSchema)});
const batchResponseSchema = z.object({
  results: z.array(
    z.discriminatedUnion('applied', [
      z.object({applied: z.literal(true), version: z.number()}),
      z.object({
        applied: z.literal(false),
        current: z.optional(tableRowSchema),
      }),
    ]),
  ),
});

export class HttpTableService implements TableService {
  private constructor(private readonly client: HttpPlatformClient) {}

  static create(client: HttpPlatformClient): HttpTableService {
    return new HttpTableService(client);
  }

  async get(key: string): Promise<Result<TableRow | undefined, PlatformError>> {
    const path = `/v1/table/rows/${encodeURIComponent(key)}`;
    const response = await this.client.request('GET', path);
    if (response.err) return response;
    if (response.val.status === 404) return Ok(undefined);
    return parseBody(response.val.body, tableRowSchema);
  }

  async scan(
    prefix: string,
    limit: number,
  ): Promise<Result<TableRow[], PlatformError>> {
    const query = new URLSearchParams({prefix, limit: String(limit)});
    const response = await this.client.request(
      'GET',
      `/v1/table/rows?${query}`,
    );
    if (response.err) return response;
    return parseBody(response.val.body, scanResponseSchema).map(
      parsed => parsed.rows,
    );
  }

  async batch(
    operations: TableOperation[],
    options: BatchOptions,
  ): Promise<Result<TableOperationResult[], PlatformError>> {
    const body = JSON.stringify({operations, atomic: options.atomic});
    const response = await this.client.request('POST', '/v1/table/batch', body);
    if (response.err) return response;
    return parseBody(response.val.body, batchResponseSchema).map(parsed =>
      parsed.results.map(result =>
        result.applied
          ? result
          : {applied: false as const, current: result.current},
      ),
    );
  }
}

function parseBody<T>(
  body: Buffer,
  schema: z.ZodType<T>,
): Result<T, PlatformError> {
  try {
    return Ok(schema.parse(JSON.parse(body.toString('utf8'))));
  } catch {
    return Err(platformError('outcome-unknown', 'malformed platform answer'));
  }
}
