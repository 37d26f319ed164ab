/** In-memory object store that can simulate an outage. */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {ObjectStore} from './object-store.js';
import {platformError} from './platform-error.js';
import type {PlatformError} from './platform-error.js';

export class MemoryObjectStore implements ObjectStore {
  /** When true, every call fails without effect. */
  unavailable = false;
  private readonly objects = new Map<string, Uint8Array>();

  static create(): MemoryObjectStore {
    return new MemoryObjectStore();
  }

  async get(
    key: string,
  ): Promise<Result<Uint8Array | undefined, PlatformError>> {
    if (this.unavailable) return this.unavailableResult();
    return Ok(this.objects.get(key));
  }

  async put(
    key: string,
    bytes: Uint8Array,
  ): Promise<Result<void, PlatformError>> {
    if (this.unavailable) return this.unavailableResult();
    this.objects.set(key, Uint8Array.from(bytes));
    return Ok(undefined);
  }

  private unavailableResult() {
    return Err(platformError('unavailable', 'object store unavailable'));
  }
}
