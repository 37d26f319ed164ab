/** The platform's object store. Objects are written once, under unique keys. */
import type {Result} from '@fireflytrack/result';
import type {PlatformError} from './platform-error.js';

export interface ObjectStore {
  /** Returns the object's bytes; undefined when it does not exist. */
  get(key: string): Promise<Result<Uint8Array | undefined, PlatformError>>;
  put(key: string, bytes: Uint8Array): Promise<Result<void, PlatformError>>;
}
