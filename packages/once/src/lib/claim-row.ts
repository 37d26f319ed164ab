/** The table row `once/{team}/{key}`: the claim on one idempotency key. */
import {z} from 'zod';
import type {OnceRequest, StoredAnswer} from './once-registry.js';

export const ROW_PREFIX = 'once/';
/** A retry with the same key within this time finds its row. */
export const RETRY_WINDOW_MS = 24 * 3_600_000;
/**
 * Rows are kept this much longer, because the instances' wall clocks differ.
 */
export const RETENTION_AFTER_WINDOW_MS = 3_600_000;
/** Larger responses are not stored, to keep rows cheap to read and write. */
export const MAX_STORED_RESPONSE_BYTES = 65_536;

const storedResponseSchema = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  bodyBase64: z.string(),
});

export const claimRowSchema = z.object({
  claimId: z.string(),
  /** The only instance that may dispatch the request under this claim. */
  claimer: z.string(),
  requestDigest: z.string(),
  /** Wall clock of the claimer; only housekeeping reads it. */
  createdAtMs: z.number(),
  /**
   * `claimed`: not settled yet. `abandoned`: never dispatched under this claim,
   * now or later, or declined by the backend server. `done`: executed, with the
   * response in `answer`. `unknown`: it may have run. `gone`: it ran, and its
   * response is too large to store.
   */
  state: z.enum(['claimed', 'abandoned', 'done', 'unknown', 'gone']),
  answer: storedResponseSchema.optional(),
});
export type ClaimRow = z.infer<typeof claimRowSchema>;

export function toRowKey(request: OnceRequest): string {
  const team = encodeURIComponent(request.teamName);
  return `${ROW_PREFIX}${team}/${encodeURIComponent(request.idempotencyKey)}`;
}

export function encodeResponse(response: StoredAnswer): ClaimRow['answer'] {
  const {status, headers, body} = response;
  return {status, headers, bodyBase64: Buffer.from(body).toString('base64')};
}

export function decodeResponse(
  stored: NonNullable<ClaimRow['answer']>,
): StoredAnswer {
  const {status, headers, bodyBase64} = stored;
  return {status, headers, body: Buffer.from(bodyBase64, 'base64')};
}
