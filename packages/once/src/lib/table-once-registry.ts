/**
 * At-most-once execution by a claim row that is inserted before dispatch.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {TableService} from '@fireflytrack/platform';
import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import type {
  DispatchOutcome,
  OnceError,
  OnceRegistry,
  OnceRequest,
  StoredAnswer,
} from './once-registry.js';

const claimSchema = z.object({
  claimId: z.string(),
  requestDigest: z.string(),
  state: z.enum(['claimed', 'done', 'unknown']),
  answer: z
    .object({
      status: z.number(),
      headers: z.record(z.string(), z.string()),
      bodyBase64: z.string(),
    })
    .optional(),
});
type Claim = z.infer<typeof claimSchema>;

const RETRY_AFTER_MS = 1000;

export class TableOnceRegistry implements OnceRegistry {
  private constructor(private readonly table: TableService) {}

  static create(table: TableService): TableOnceRegistry {
    return new TableOnceRegistry(table);
  }

  async run(
    request: OnceRequest,
    dispatch: () => Promise<DispatchOutcome>,
  ): Promise<Result<StoredAnswer, OnceError>> {
    const key = `once/${request.teamName}/${request.idempotencyKey}`;
    const claim: Claim = {
      claimId: randomUUID(),
      requestDigest: request.requestDigest,
      state: 'claimed',
    };
    const inserted = await this.put(key, 0, claim);
    if (inserted.err) return inserted;
    if (inserted.val) return this.repeat(request, inserted.val);
    return this.finish(key, claim, await dispatch());
  }

  private async finish(
    key: string,
    claim: Claim,
    outcome: DispatchOutcome,
  ): Promise<Result<StoredAnswer, OnceError>> {
    if (outcome.kind === 'not-run') {
      const remove = {kind: 'delete' as const, key, ifVersion: 1};
      await this.table.batch([remove], {atomic: true});
      const {reason: message, retryAfterMs} = outcome;
      return Err({
        kind: 'not-run',
        message,
        ...(retryAfterMs && {retryAfterMs}),
      });
    }
    if (outcome.kind === 'unknown') {
      await this.put(key, 1, {...claim, state: 'unknown'});
      return Err({kind: 'unknown', message: outcome.reason});
    }
    const {status, headers, body} = outcome.answer;
    const bodyBase64 = Buffer.from(body).toString('base64');
    const answer = {status, headers, bodyBase64};
    await this.put(key, 1, {...claim, state: 'done', answer});
    return Ok(outcome.answer);
  }

  private repeat(
    request: OnceRequest,
    claim: Claim,
  ): Result<StoredAnswer, OnceError> {
    if (claim.requestDigest !== request.requestDigest) {
      return Err({
        kind: 'key-reused',
        message: 'key belongs to another request',
      });
    }
    if (!claim.answer) {
      return Err({kind: 'unknown', message: 'an earlier attempt may have run'});
    }
    const {status, headers, bodyBase64} = claim.answer;
    return Ok({status, headers, body: Buffer.from(bodyBase64, 'base64')});
  }

  /** Writes a claim; returns the row that stands in its place, if any. */
  private async put(
    key: string,
    ifVersion: number,
    value: Claim,
  ): Promise<Result<Claim | undefined, OnceError>> {
    const operation = {kind: 'put' as const, key, ifVersion, value};
    const results = await this.table.batch([operation], {atomic: false});
    if (results.err) {
      const {message} = results.val;
      const retryAfterMs = RETRY_AFTER_MS;
      return Err({kind: 'store-unavailable', message, retryAfterMs});
    }
    const result = results.val[0]!;
    if (result.applied) return Ok(undefined);
    return Ok(claimSchema.parse(result.current?.value));
  }
}
