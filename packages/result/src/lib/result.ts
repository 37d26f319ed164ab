/**
 * Result values of ts-results under ES module names.
 *
 * ts-results is a CommonJS package whose exports Node.js cannot detect
 * statically, so it is imported once here by its default export.
 */
import tsResults from 'ts-results';
import type {Result as TsResult} from 'ts-results';

export const Ok = tsResults.Ok;
export const Err = tsResults.Err;

/** Either `Ok` with a value or `Err` with an error of the calling layer. */
export type Result<T, E> = TsResult<T, E>;
