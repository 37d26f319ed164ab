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
// What responses name is brought within these bounds.
const MIN_REQUESTS_PER_SECOND = 0.1;
const MAX_REQUESTS_PER_SECOND = 1_000_000;
// Latest time that a Date can represent.
const MAX_START_MS = 8.64e15;
// Far above the longest time that a ledger promises (3 s).
const MAX_RETRY_AFTER_MS = 60_000;

const requestsPerSecondSchema = z
  .number()
  .min(MIN_REQUESTS_PER_SECOND)
  .max(MAX_REQUESTS_PER_SECOND);

const serverRunSchema = z.object({
  serverId: z.string(),
  service: z.string(),
  startedAtMs: z.number().nonnegative().max(MAX_START_MS),
});
export const limitSchema = serverRunSchema.extend({
  requestsPerSecond: requestsPerSecondSchema,
});
export type LimitMessage = z.infer<typeof limitSchema>;
export const changeSchema = serverRunSchema.extend({
  /** Absent if the limit has ended. */
  requestsPerSecond: requestsPerSecondSchema.optional(),
  scope: scopeSchema,
});
export type LimitChange = z.infer<typeof changeSchema>;
export const syncSchema = z.object({limits: z.array(limitSchema)});
export const takeRequestSchema = z.object({
  service: z.string(),
  team: z.string().optional(),
  rank: z.number().int().nonnegative(),
  candidates: z.array(limitSchema).min(1).max(MAX_CANDIDATES),
  isOnlyChoice: z.boolean(),
  /** Whether a leader forwarded the request; it is not forwarded again. */
  forwarded: z.boolean(),
});
export type TakeRequest = z.infer<typeof takeRequestSchema>;
export const takeResponseSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('granted'), serverId: z.string()}),
  z.object({
    kind: z.literal('at-limit'),
    retryAfterMs: z.number().nonnegative().max(MAX_RETRY_AFTER_MS),
  }),
]);
