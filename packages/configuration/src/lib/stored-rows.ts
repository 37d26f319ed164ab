/** Rows of the table service that hold the configuration and the keys. */
import {z} from 'zod';

export const HEAD_KEY = 'config/head';
export const KEYS_KEY = 'keys/head';

export const headSchema = z.object({
  version: z.number().int().nonnegative(),
  changeId: z.string(),
  hash: z.string(),
  previousHash: z.string(),
  objectKey: z.string(),
});
export type ConfigurationHead = z.infer<typeof headSchema>;

export const keyRecordSchema = z.object({
  keyId: z.string(),
  teamName: z.string(),
  secretHash: z.string(),
  withdrawn: z.boolean(),
});
export type KeyRecord = z.infer<typeof keyRecordSchema>;

export const keysRowSchema = z.object({
  keys: z.array(keyRecordSchema),
});
