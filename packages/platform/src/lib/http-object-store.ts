/** Client of the platform's object store over HTTP. */
import {Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {HttpPlatformClient} from './http-platform-client.js';
import type {ObjectStore} from './object-store.js';
import type {PlatformError} from './platform-error.js';

export class HttpObjectStore implements ObjectStore {
  private constructor(private readonly client: HttpPlatformClient) {}

  static create(client: HttpPlatformClient): HttpObjectStore {
    return new HttpObjectStore(client);
  }

  async get(
    key: string,
  ): Promise<Result<Uint8Array | undefined, PlatformError>> {
    const path = `/v1/objects/${encodeURIComponent(key)}`;
    const response = await this.client.request('GET', path);
    if (response.err) return response;
    return Ok(response.val.status === 404 ? undefined : response.val.body);
  }

  async put(
    key: string,
    bytes: Uint8Array,
  ): Promise<Result<void, PlatformError>> {
    const path = `/v1/objects/${encodeURIComponent(key)}`;
    const response = await this.client.request('PUT', path, bytes);
    return response.map(() => undefined);
  }
}
