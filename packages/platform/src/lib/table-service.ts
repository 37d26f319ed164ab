/**
 * The platform's transactional table service.
 *
 * Each row has a version that starts at 1 and increases with each write. Every
 * write is conditional on the row's current version.
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
    /** Version that the row must have; 0 if it must not exist. */
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
  /** `current` is the existing row; undefined when there is none. */
  | {applied: false; current: TableRow | undefined};

export interface BatchOptions {
  /** All operations are applied or none; if false, each is applied on its own. */
  atomic: boolean;
}

export interface TableService {
  /**
   * Rises each time the table returned from an older copy, in which later writes
   * are lost and their versions are given out again; as of the last response.
   * Absent for tables that lose nothing.
   */
  readonly era?: number;
  get(key: string): Promise<Result<TableRow | undefined, PlatformError>>;
  /** Returns up to `limit` rows whose keys start with `prefix`, in key order. */
  scan(
    prefix: string,
    limit: number,
  ): Promise<Result<TableRow[], PlatformError>>;
  /** Applies conditional writes; the results are in the order of `operations`. */
  batch(
    operations: TableOperation[],
    options: BatchOptions,
  ): Promise<Result<TableOperationResult[], PlatformError>>;
}
