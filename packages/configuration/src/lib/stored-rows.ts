/** Rows of the table service that hold the configuration and the keys. */
import {z} from 'zod';

export const HEAD_KEY = 'config/head';
export const KEY_SET_KEY = 'keys/head';

const VERSION_DIGITS = 12;

/** Key of the row that records the outcome of a change. */
export function changeKey(changeId: string): string {
  return `config/change/${changeId}`;
}

/** Key of the row of a version; zero-padded, so that keys sort by version. */
export function versionKey(version: number): string {
  return `config/version/${String(version).padStart(VERSION_DIGITS, '0')}`;
}

const hash = z.string().regex(/^[0-9a-f]{64}$/);
const versionNumber = z.number().int().nonnegative();

export const headSchema = z.object({
  version: versionNumber,
  changeId: z.string(),
  hash,
  /** Hash of the previous version; empty for the first one. */
  previousHash: hash.or(z.literal('')),
  objectKey: z.string(),
});
export type ConfigurationHead = z.infer<typeof headSchema>;

/** A version with its text, as exchanged between peers. */
export const versionedTextSchema = headSchema
  .pick({version: true, hash: true, previousHash: true})
  .extend({text: z.string()});
export type VersionedText = z.infer<typeof versionedTextSchema>;

export const keyIdSchema = z.string().regex(/^[0-9a-f]{16}$/);

export const keyRecordSchema = z.object({
  keyId: keyIdSchema,
  teamName: z.string(),
  /** SHA-256 of the secret in hexadecimal. */
  secretHash: hash,
});
export type KeyRecord = z.infer<typeof keyRecordSchema>;

/** Issued keys never change; a withdrawal only adds its id to `withdrawn`. */
export const keySetSchema = z.object({
  version: versionNumber,
  keys: z.array(keyRecordSchema),
  withdrawn: z.array(keyIdSchema),
});
export type KeySet = z.infer<typeof keySetSchema>;
