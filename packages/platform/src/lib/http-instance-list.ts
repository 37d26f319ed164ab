/** Reads the platform's instance list over HTTP. */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {z} from 'zod';
import type {HttpPlatformClient} from './http-platform-client.js';
import {listedInstanceSchema} from './instance-list.js';
import type {InstanceList, ListedInstance} from './instance-list.js';
import {platformError} from './platform-error.js';
import type {PlatformError} from './platform-error.js';

const listResponseSchema = z.object({instances: z.array(listedInstanceSchema)});

export class HttpInstanceList implements InstanceList {
  private constructor(private readonly client: HttpPlatformClient) {}

  static create(client: HttpPlatformClient): HttpInstanceList {
    return new HttpInstanceList(client);
  }

  async list(): Promise<Result<ListedInstance[], PlatformError>> {
    const response = await this.client.request('GET', '/v1/instances');
    if (response.err) return response;
    try {
      const json = JSON.parse(response.val.body.toString('utf8'));
      return Ok(listResponseSchema.parse(json).instances);
    } catch {
      return Err(platformError('outcome-unknown', 'malformed instance list'));
    }
  }
}
