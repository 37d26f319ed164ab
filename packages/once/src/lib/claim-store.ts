/**
 * Writes claims and their outcomes to the table.
 *
 * A write whose response is lost may take effect at any later time. A claim
 * write is therefore retried with the same claim id and expected version, and
 * an abandoned claim is overwritten, so that a late write fails.
 */
import type {Logger} from '@fireflytrack/telemetry';
import type {
  TableOperationResult,
  TableRow,
  TableService,
} from '@fireflytrack/platform';
import {sleep} from '@fireflytrack/time';
import {RETRY_WINDOW_MS, claimRowSchema} from './claim-row.js';
import type {ClaimRow} from './claim-row.js';
import {OperationBatcher} from './operation-batcher.js';
import type {OwnClaim} from './own-claim.js';

export type ClaimResult =
  /** The row holds this claim. */
  | {kind: 'won'}
  /** Another claim holds the row, or the row was removed (`row` undefined). */
  | {kind: 'lost'; row: VersionedClaimRow | undefined}
  /** The write had no effect and never will. */
  | {kind: 'unavailable'; message: string}
  /** The write may take effect, now or later. */
  | {kind: 'unresolved'; message: string};

/** A claim as read from the table. */
export interface VersionedClaimRow {
  version: number;
  claim: ClaimRow;
}

export interface ClaimStoreOptions {
  table: TableService;
  /** Claims of this instance by claim id. */
  claims: Map<string, OwnClaim>;
  logger: Logger;
}

const CLAIMS_PER_BATCH = 64;
/** Outcomes contain responses: 8 of the largest fit in 1 MiB. */
const OUTCOMES_PER_BATCH = 8;
const MAX_CLAIM_ATTEMPTS = 3;
const CLAIM_RETRY_DELAY_MS = 50;

export class ClaimStore {
  private readonly claimBatcher: OperationBatcher;
  private readonly outcomeBatcher: OperationBatcher;
  private readonly storing = new Set<OwnClaim>();

  private constructor(private readonly options: ClaimStoreOptions) {
    const {table} = options;
    const maxOperations = CLAIMS_PER_BATCH;
    this.claimBatcher = OperationBatcher.create({table, maxOperations});
    this.outcomeBatcher = OperationBatcher.create({
      table,
      maxOperations: OUTCOMES_PER_BATCH,
    });
  }

  static create(options: ClaimStoreOptions): ClaimStore {
    return new ClaimStore(options);
  }

  /**
   * Writes a new claim. After a lost response, the claim id in the row shows
   * whether the write took effect.
   */
  async claim(claim: OwnClaim): Promise<ClaimResult> {
    const {rowKey: key, ifVersion} = claim.options;
    const operation = {kind: 'put' as const, key, ifVersion};
    const value = claim.toRow();
    let failure: ClaimResult = {kind: 'unavailable', message: 'not tried'};
    for (let attempt = 0; attempt < MAX_CLAIM_ATTEMPTS; attempt += 1) {
      if (attempt > 0) await sleep(CLAIM_RETRY_DELAY_MS);
      const result = await this.claimBatcher.apply({...operation, value});
      if (result.ok) return this.resolveClaim(claim, result.val);
      const {kind, message} = result.val;
      if (kind === 'outcome-unknown') failure = {kind: 'unresolved', message};
      if (failure.kind === 'unavailable') return {kind: 'unavailable', message};
    }
    return failure;
  }

  /**
   * Tries once to store the outcome of a settled claim, and removes the claim
   * when that succeeds. Otherwise `storeSettledClaims` tries again.
   */
  async storeOutcome(claim: OwnClaim): Promise<void> {
    if (this.storing.has(claim) || !claim.isSettled()) return;
    this.storing.add(claim);
    try {
      if (await this.tryStoreOutcome(claim)) this.removeClaim(claim);
    } catch (error) {
      const fields = {claimId: claim.claimId, message: String(error)};
      this.options.logger.error('outcome not stored', fields);
    }
    this.storing.delete(claim);
  }

  /** Tries to store up to `limit` unstored outcomes, oldest first. */
  async storeSettledClaims(limit: number): Promise<void> {
    const unstored = [...this.options.claims.values()].filter(
      claim => claim.isSettled() && !this.storing.has(claim),
    );
    const claims = unstored.slice(0, limit);
    await Promise.all(claims.map(claim => this.storeOutcome(claim)));
  }

  /**
   * Reads the row of a key; undefined when it does not exist or cannot be read.
   */
  async readRow(rowKey: string): Promise<VersionedClaimRow | undefined> {
    const row = await this.options.table.get(rowKey);
    return row.ok ? parseClaimRow(row.val) : undefined;
  }

  /** The result of a claim write that the table has processed. */
  private resolveClaim(
    claim: OwnClaim,
    result: TableOperationResult,
  ): ClaimResult {
    if (result.applied) {
      claim.version = result.version;
      return {kind: 'won'};
    }
    const row = parseClaimRow(result.current);
    if (row?.claim.claimId !== claim.claimId) return {kind: 'lost', row};
    claim.version = row.version;
    return {kind: 'won'};
  }

  /** Returns whether nothing remains to be stored for the claim. */
  private async tryStoreOutcome(claim: OwnClaim): Promise<boolean> {
    // After the window, the row may be removed and belong to a new request.
    if (claim.ageMs > RETRY_WINDOW_MS) return true;
    const key = claim.options.rowKey;
    const ifVersion = claim.version ?? (await this.versionToReplace(claim));
    if (ifVersion === 'none') return true;
    if (ifVersion === 'unreadable') return false;
    const value = claim.toRow();
    const operation = {kind: 'put' as const, key, ifVersion, value};
    const result = await this.outcomeBatcher.apply(operation);
    if (result.err) return false;
    if (result.val.applied) return true;
    const found = parseClaimRow(result.val.current);
    if (found?.claim.claimId !== claim.claimId) return true;
    claim.version = found.version;
    return found.claim.state === value.state;
  }

  /**
   * The row version to overwrite for a claim whose write has an unknown
   * outcome: that of its own row, or of the row that a late write could still
   * replace.
   */
  private async versionToReplace(
    claim: OwnClaim,
  ): Promise<number | 'none' | 'unreadable'> {
    const row = await this.options.table.get(claim.options.rowKey);
    if (row.err) return 'unreadable';
    const found = parseClaimRow(row.val);
    if (found?.claim.claimId === claim.claimId) return found.version;
    const version = found?.version ?? 0;
    return version === claim.options.ifVersion ? version : 'none';
  }

  private removeClaim(claim: OwnClaim): void {
    this.options.claims.delete(claim.claimId);
  }
}

function parseClaimRow(
  row: TableRow | undefined,
): VersionedClaimRow | undefined {
  if (!row) return undefined;
  return {version: row.version, claim: claimRowSchema.parse(row.value)};
}
