/**
 * ES module exports of ts-results.
 *
 * ts-results is a CommonJS package whose named exports Node.js cannot detect
 * statically, so this module imports its default export and re-exports them.
 */
import tsResults from 'ts-results';
import type {Result as TsResult} from 'ts-results';

export const Ok = tsResults.Ok;
export const Err = tsResults.Err;

/** Either `Ok` with a value or `Err` with an error. */
export type Result<T, E> = TsResult<T, E>;
