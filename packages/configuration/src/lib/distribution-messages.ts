/** Messages by which instances spread configuration, keys and withdrawals. */
import {z} from 'zod';
import {keyIdSchema, keySetSchema, versionedTextSchema} from './stored-rows.js';

export const VERSIONS_KIND = 'config/versions';
export const FETCH_KIND = 'config/fetch';
export const WITHDRAWN_KIND = 'config/withdrawn';

const count = z.number().int().nonnegative();

/** What an instance holds. */
export const holdingsSchema = z.object({
  configurationVersion: count,
  keySetVersion: count,
  withdrawnDigest: z.string(),
});
export type Holdings = z.infer<typeof holdingsSchema>;

export const versionsMessageSchema = holdingsSchema.extend({
  /** Sender's monotonic clock; only the sender reads it again, as an echo. */
  sentAtMs: z.number(),
  /** `sentAtMs` of the newest message that the sender heard from us. */
  echoedSentAtMs: z.number().optional(),
  /** Age of the sender's evidence of the store's state, when it has any. */
  ageMs: z.number().nonnegative().optional(),
  /** Whether the sender's last read of the store got no answer. */
  readsFailing: z.boolean(),
});
export type VersionsMessage = z.infer<typeof versionsMessageSchema>;

export const fetchRequestSchema = holdingsSchema;

/** Carries only what the asking instance lacks. */
export const fetchAnswerSchema = z.object({
  ready: z.boolean(),
  configuration: versionedTextSchema.optional(),
  keySet: keySetSchema.optional(),
});
export type FetchAnswer = z.infer<typeof fetchAnswerSchema>;

export const withdrawnMessageSchema = z.object({keyIds: z.array(keyIdSchema)});
