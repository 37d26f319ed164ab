/** Messages between the limiters of a fleet, checked at receipt. */
import {z} from 'zod';

/** Message: tokens that the sender could lend now, by team. */
export const LEVELS_KIND = 'limits/levels';
/** Request: subtract tokens here and let the sender spend them. */
export const BORROW_KIND = 'limits/borrow';
/** Message: the sender keeps nothing of a borrowed lot. */
export const RETURN_KIND = 'limits/return';
/** Message: the sender owns too few parts and requests some. */
export const REQUEST_PARTS_KIND = 'limits/ask-parts';
/** Message: the sender wrote the ledger in favour of the receiver. */
export const LEDGER_CHANGED_KIND = 'limits/ledger-changed';
/** Request: whether the receiver had recent contact with an instance. */
export const CONTACT_QUERY_KIND = 'limits/heard';

const microSchema = z.number().int().nonnegative().max(1e15);
const idSchema = z.string().min(1).max(256);

export const levelsSchema = z.object({
  lendableMicro: z.record(z.string(), microSchema),
});
export type Levels = z.infer<typeof levelsSchema>;

export const borrowRequestSchema = z.object({
  teamName: idSchema,
  /** Unique for the borrower. */
  lotId: idSchema,
  wantedMicro: microSchema,
  /** The borrower spends the tokens within this time after its request. */
  lifetimeMs: z.number().positive().max(250),
});
export type BorrowRequest = z.infer<typeof borrowRequestSchema>;

export const borrowResponseSchema = z.object({
  grantedMicro: microSchema,
  /** What the lender could lend after this grant. */
  lendableMicro: microSchema,
});
export type BorrowResponse = z.infer<typeof borrowResponseSchema>;

export const returnSchema = z.object({
  teamName: idSchema,
  lotId: idSchema,
  amountMicro: microSchema,
});
export type ReturnedLot = z.infer<typeof returnSchema>;

export const contactRequestSchema = z.object({
  instanceId: idSchema,
  forMs: z.number().nonnegative(),
});

export const contactResponseSchema = z.object({heard: z.boolean()});
