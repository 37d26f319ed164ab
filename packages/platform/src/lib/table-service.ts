/**
 * The platform's transactional table service.
 *
 * Rows carry a version that starts at 1 and grows with each write. Every write
 * is conditional on the version its writer saw.
 */
import type {Result} from '@fireflytrack/result';
import {z} from 'zod';
import type {PlatformError} from './platform-error.js';

export const tableRowSchema = z.object({
  key: z.string(),
  version: z.number().int().positive(),
  value: z.unknown(),
});
export type TableRow = z.infer<typeof tableRowSchema>;

export const tableOperationSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('put'),
    key: z.string(),
    /** Version the row must have; 0 when it must not exist. */
    ifVersion: z.number().int().nonnegative(),
    value: z.unknown(),
  }),
  z.object({
    kind: z.literal('delete'),
    key: z.string(),
    ifVersion: z.number().int().positive(),
  }),
]);
export type TableOperation = z.infer<typeof tableOperationSchema>;

export type TableOperationResult =
  | {applied: true; version: number}
  /** `current` is the row that contradicted the condition, if there is one. */
  | {applied: false; current: TableRow | undefined};

export interface BatchOptions {
  /** All operations take effect or none; otherwise each stands alone. */
  atomic: boolean;
}

export interface TableService {
  get(key: string): Promise<Result<TableRow | undefined, PlatformError>>;
  /** Rows whose key starts with `prefix`, in key order, at most `limit`. */
  scan(
    prefix: string,
    limit: number,
  ): Promise<Result<TableRow[], PlatformError>>;
  batch(
    operations: TableOperation[],
    options: BatchOptions,
  ): Promise<Result<TableOperationResult[], PlatformError>>;
}
