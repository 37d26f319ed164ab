/** The frames of the peer protocol and their schemas. */
import {z} from 'zod';

/** Incremented with each incompatible change of the frames. */
export const PROTOCOL_VERSION = 1;

const id = z.string().min(1).max(200);

export const identitySchema = z.object({
  instanceId: id,
  availabilityZone: id,
  region: id,
});

/** First frame in each direction. */
export const helloSchema = z.object({
  type: z.literal('hello'),
  version: z.number().int(),
  identity: identitySchema,
  /** Challenge of 32 random bytes that the other side's proof must cover. */
  nonce: z.instanceof(Uint8Array).refine(nonce => nonce.length === 32),
});
export type Hello = z.infer<typeof helloSchema>;

/** Second frame in each direction: the HMAC over both hello frames. */
export const proofSchema = z.object({
  type: z.literal('proof'),
  mac: z.instanceof(Uint8Array),
});

export const peerFrameSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('ping')}),
  z.object({
    type: z.literal('message'),
    kind: z.string(),
    payload: z.unknown(),
  }),
  z.object({
    type: z.literal('request'),
    requestId: z.number().int(),
    kind: z.string(),
    payload: z.unknown(),
  }),
  z.object({
    type: z.literal('answer'),
    requestId: z.number().int(),
    /** Set when the peer refused the request or its handler failed. */
    error: z.string().optional(),
    payload: z.unknown(),
  }),
]);
export type PeerFrame = z.infer<typeof peerFrameSchema>;
