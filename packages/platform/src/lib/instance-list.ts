/**
 * The platform's list of instances. It lags: it holds instances that ended and
 * misses new ones. An instance that runs is never taken off the list.
 */
import type {Result} from '@fireflytrack/result';
import {z} from 'zod';
import type {PlatformError} from './platform-error.js';

export const listedInstanceSchema = z.object({
  /** Unique for each started process. */
  instanceId: z.string(),
  host: z.string(),
  entryPort: z.number().int(),
  peerPort: z.number().int(),
  adminPort: z.number().int(),
  availabilityZone: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
});
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

export interface InstanceList {
  list(): Promise<Result<ListedInstance[], PlatformError>>;
}
