/** Reads and validates rows of the table service. */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {platformError} from '@fireflytrack/platform';
import type {
  PlatformError,
  TableRow,
  TableService,
} from '@fireflytrack/platform';
import type {z} from 'zod';
import type {ConfigurationError} from './configuration-error.js';

export interface StoredRow<T> {
  /** Version of the table row; 0 while the row does not exist. */
  rowVersion: number;
  value: T | undefined;
}

export async function readStoredRow<T>(
  table: TableService,
  key: string,
  schema: z.ZodType<T>,
): Promise<Result<StoredRow<T>, PlatformError>> {
  const row = await table.get(key);
  if (row.err) return row;
  return parseStoredRow(row.val, key, schema);
}

export function parseStoredRow<T>(
  row: TableRow | undefined,
  key: string,
  schema: z.ZodType<T>,
): Result<StoredRow<T>, PlatformError> {
  if (!row) return Ok({rowVersion: 0, value: undefined});
  const parsed = schema.safeParse(row.value);
  if (parsed.success) return Ok({rowVersion: row.version, value: parsed.data});
  return Err(platformError('unavailable', `row ${key} is malformed`));
}

export function toReadError(error: PlatformError): ConfigurationError {
  return {kind: 'store-unavailable', message: error.message};
}

export function toWriteError(error: PlatformError): ConfigurationError {
  if (error.kind === 'unavailable') return toReadError(error);
  return {kind: 'outcome-unknown', message: error.message};
}

/**
 * Delays between the reads that resolve a lost response, in milliseconds. A write
 * whose response was lost may still take effect shortly afterwards.
 */
export const RESOLVE_DELAYS_MS = [0, 200, 500];
