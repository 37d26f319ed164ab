/** The row `once/{team}/{key}` of one idempotency key. */
import {z} from 'zod';
import type {OnceRequest, StoredAnswer} from './once-registry.js';

export const ROW_PREFIX = 'once/';
/** A retry with the same key within this time finds its row. */
export const WINDOW_MS = 24 * 3_600_000;
/** Rows stay this much longer, because the instances' wall clocks differ. */
export const KEPT_AFTER_WINDOW_MS = 3_600_000;
/** Larger responses are not stored: a row must stay cheap to read and write. */
export const MAX_KEPT_ANSWER_BYTES = 65_536;

const keptAnswerSchema = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  bodyBase64: z.string(),
});

export const claimRowSchema = z.object({
  claimId: z.string(),
  /** Instance that alone may dispatch under this claim. */
  claimer: z.string(),
  requestDigest: z.string(),
  /** Wall clock of the claimer; only housekeeping reads it. */
  createdAtMs: z.number(),
  /**
   * `abandoned`: never dispatched under this claim, and never will be, or
   * declined by the backend server. `gone`: it ran and its response is too
   * large to store.
   */
  state: z.enum(['claimed', 'abandoned', 'done', 'unknown', 'gone']),
  answer: keptAnswerSchema.optional(),
});
export type ClaimRow = z.infer<typeof claimRowSchema>;

export function toRowKey(request: OnceRequest): string {
  const team = encodeURIComponent(request.teamName);
  return `${ROW_PREFIX}${team}/${encodeURIComponent(request.idempotencyKey)}`;
}

export function keepAnswer(answer: StoredAnswer): ClaimRow['answer'] {
  const {status, headers, body} = answer;
  return {status, headers, bodyBase64: Buffer.from(body).toString('base64')};
}

export function restoreAnswer(
  kept: NonNullable<ClaimRow['answer']>,
): StoredAnswer {
  const {status, headers, bodyBase64} = kept;
  return {status, headers, body: Buffer.from(bodyBase64, 'base64')};
}
