/**
 * The platform's list of instances. It is eventually consistent: it may include
 * instances that have ended and miss new ones. A listed instance is not removed
 * while it is running.
 */
import type {Result} from '@fireflytrack/result';
import {z} from 'zod';
import type {PlatformError} from './platform-error.js';

export const listedInstanceSchema = z.object({
  /** Unique for each process start. */
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
