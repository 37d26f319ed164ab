/** Schemas of the messages between the limiters of a fleet. */
import {z} from 'zod';

/** Message: tokens that the sender can lend now, by team. */
export const LEVELS_KIND = 'limits/levels';
/** Request: the receiver lends tokens, which the sender may then spend. */
export const BORROW_KIND = 'limits/borrow';
/** Message: the sender spent a borrowed lot and returns what is left of it. */
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
  /** Unique among the lots of the borrower. */
  lotId: idSchema,
  wantedMicro: microSchema,
  /**
   * Time after sending the request within which the borrower may spend them.
   */
  lifetimeMs: z.number().positive().max(250),
});
export type BorrowRequest = z.infer<typeof borrowRequestSchema>;

export const borrowResponseSchema = z.object({
  grantedMicro: microSchema,
  /** Tokens that the lender could still lend after this grant. */
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
