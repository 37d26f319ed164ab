/** The peer request `once/status`: queries the claimer for the state of a claim. */
import type {PeerNetwork} from '@fireflytrack/wire';
import {z} from 'zod';
import type {OwnClaim} from './own-claim.js';

const STATUS_KIND = 'once/status';
/** The claimer delays its reply up to this long while the claim runs. */
const MAX_HOLD_MS = 500;
/** Allowance for the round trip; several times the one between regions. */
const REPLY_MARGIN_MS = 500;

const statusRequestSchema = z.object({
  claimId: z.string(),
  holdMs: z.number().min(0),
});

const responseSchema = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  body: z.custom<Uint8Array>(value => value instanceof Uint8Array),
});

const claimStatusSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('running')}),
  z.object({kind: z.literal('not-run')}),
  z.object({kind: z.literal('done'), answer: responseSchema}),
  z.object({kind: z.literal('gone')}),
  z.object({kind: z.literal('unknown')}),
  /** The claim was stored and removed, or was never made by this instance. */
  z.object({kind: z.literal('no-record')}),
]);
export type ClaimStatus = z.infer<typeof claimStatusSchema>;

export class ClaimStatusExchange {
  private constructor(
    private readonly network: PeerNetwork,
    private readonly claims: ReadonlyMap<string, OwnClaim>,
  ) {
    network.onRequest(STATUS_KIND, async (_, payload) => {
      const {claimId, holdMs} = statusRequestSchema.parse(payload);
      return this.waitForOwnStatus(claimId, Math.min(holdMs, MAX_HOLD_MS));
    });
  }

  /** `claims` are the claims of this instance by claim id. */
  static create(
    network: PeerNetwork,
    claims: ReadonlyMap<string, OwnClaim>,
  ): ClaimStatusExchange {
    return new ClaimStatusExchange(network, claims);
  }

  /**
   * Queries the claimer, which delays its reply while the request runs. Returns
   * undefined without a valid reply in time.
   */
  async query(
    claimer: string,
    claimId: string,
    remainingMs: number,
  ): Promise<ClaimStatus | undefined> {
    // Leaves half of the remaining time for the reply to arrive.
    const holdMs = Math.min(MAX_HOLD_MS, Math.ceil(remainingMs / 2));
    const {network} = this;
    if (claimer === network.self.instanceId) {
      return this.waitForOwnStatus(claimId, holdMs);
    }
    const timeoutMs = Math.min(holdMs + REPLY_MARGIN_MS, remainingMs);
    const payload = {claimId, holdMs};
    const reply = await network.request(
      claimer,
      STATUS_KIND,
      payload,
      timeoutMs,
    );
    if (reply.err) return undefined;
    const status = claimStatusSchema.safeParse(reply.val);
    return status.success ? status.data : undefined;
  }

  private async waitForOwnStatus(
    claimId: string,
    holdMs: number,
  ): Promise<ClaimStatus> {
    const claim = this.claims.get(claimId);
    if (!claim) return {kind: 'no-record'};
    await claim.whenSettled(holdMs);
    const {state} = claim;
    return state.kind === 'claiming' ? {kind: 'running'} : state;
  }
}
