/** Peer messages that replicate configuration, keys and withdrawals. */
import {z} from 'zod';
import {keyIdSchema, keySetSchema, versionedTextSchema} from './stored-rows.js';

export const VERSIONS_KIND = 'config/versions';
export const FETCH_KIND = 'config/fetch';
export const WITHDRAWN_KIND = 'config/withdrawn';

const versionNumber = z.number().int().nonnegative();

/** Versions of the configuration and keys that an instance has. */
export const replicaVersionsSchema = z.object({
  configurationVersion: versionNumber,
  keySetVersion: versionNumber,
  withdrawnDigest: z.string(),
});
export type ReplicaVersions = z.infer<typeof replicaVersionsSchema>;

export const versionsMessageSchema = replicaVersionsSchema.extend({
  /** Sender's monotonic clock; the recipient only echoes it. */
  sentAtMs: z.number(),
  /** `sentAtMs` of the newest message from the recipient to the sender. */
  echoedSentAtMs: z.number().optional(),
  /** Age of the sender's evidence of the store's state, if it has any. */
  ageMs: z.number().nonnegative().optional(),
  /** Whether the sender's last read of the store failed. */
  readsFailing: z.boolean(),
});
export type VersionsMessage = z.infer<typeof versionsMessageSchema>;

export const fetchRequestSchema = replicaVersionsSchema;

/** Contains only what the requesting instance lacks. */
export const fetchReplySchema = z.object({
  ready: z.boolean(),
  configuration: versionedTextSchema.optional(),
  keySet: keySetSchema.optional(),
});
export type FetchReply = z.infer<typeof fetchReplySchema>;

export const withdrawnMessageSchema = z.object({keyIds: z.array(keyIdSchema)});
