/**
 * Messages about the limits of backend servers: changes of a limit, the limits
 * that an instance knows, and requests for grants.
 */
import {z} from 'zod';
import {scopeSchema} from './fleet-broadcast.js';

export const CHANGE_KIND = 'limit.change';
export const SYNC_KIND = 'limit.sync';
export const TAKE_KIND = 'limit.take';

const MAX_CANDIDATES = 64;

const serverRunSchema = z.object({
  serverId: z.string(),
  service: z.string(),
  startedAtMs: z.number(),
});
export const limitSchema = serverRunSchema.extend({
  requestsPerSecond: z.number().positive(),
});
export type LimitMessage = z.infer<typeof limitSchema>;
export const changeSchema = serverRunSchema.extend({
  /** Absent if the limit has ended. */
  requestsPerSecond: z.number().positive().optional(),
  scope: scopeSchema,
});
export type LimitChange = z.infer<typeof changeSchema>;
export const syncSchema = z.object({limits: z.array(limitSchema)});
export const takeRequestSchema = z.object({
  service: z.string(),
  team: z.string().optional(),
  rank: z.number(),
  candidates: z.array(limitSchema).min(1).max(MAX_CANDIDATES),
  isOnlyChoice: z.boolean(),
  /** Whether a leader forwarded the request; it is not forwarded again. */
  forwarded: z.boolean(),
});
export type TakeRequest = z.infer<typeof takeRequestSchema>;
export const takeResponseSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('granted'), serverId: z.string()}),
  z.object({kind: z.literal('at-limit'), retryAfterMs: z.number()}),
]);
