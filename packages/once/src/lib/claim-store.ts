/**
 * Writes claims and their outcomes to the table.
 *
 * A write whose response is lost may take effect at any later time. A claim
 * write is therefore retried with the same claim id and condition, and a
 * claim that was given up is overwritten, so that a late write fails.
 */
import type {Logger} from '@fireflytrack/telemetry';
import type {
  TableOperationResult,
  TableRow,
  TableService,
} from '@fireflytrack/platform';
import {sleep} from '@fireflytrack/time';
import {WINDOW_MS, claimRowSchema} from './claim-row.js';
import type {ClaimRow} from './claim-row.js';
import {OperationGroup} from './operation-group.js';
import type {OwnClaim} from './own-claim.js';

export type ClaimResult =
  /** The row holds this claim. */
  | {kind: 'won'}
  /** Another claim holds the row, or none does any more (`row` undefined). */
  | {kind: 'lost'; row: FoundClaim | undefined}
  /** The write certainly had no effect. */
  | {kind: 'unavailable'; message: string}
  /** The write may take effect, now or later. */
  | {kind: 'unresolved'; message: string};

export interface FoundClaim {
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
/** Outcomes carry answers: 8 of the largest stay under 1 MiB. */
const OUTCOMES_PER_BATCH = 8;
const CLAIM_ATTEMPTS = 3;
const CLAIM_RETRY_MS = 50;

export class ClaimStore {
  private readonly claimGroup: OperationGroup;
  private readonly outcomeGroup: OperationGroup;
  private readonly storing = new Set<OwnClaim>();

  private constructor(private readonly options: ClaimStoreOptions) {
    const {table} = options;
    const maxOperations = CLAIMS_PER_BATCH;
    this.claimGroup = OperationGroup.create({table, maxOperations});
    this.outcomeGroup = OperationGroup.create({
      table,
      maxOperations: OUTCOMES_PER_BATCH,
    });
  }

  static create(options: ClaimStoreOptions): ClaimStore {
    return new ClaimStore(options);
  }

  /** Writes a new claim; lost responses are resolved by its claim id. */
  async claim(claim: OwnClaim): Promise<ClaimResult> {
    const {rowKey: key, ifVersion} = claim.options;
    const operation = {kind: 'put' as const, key, ifVersion};
    const value = claim.row();
    let failure: ClaimResult = {kind: 'unavailable', message: 'not tried'};
    for (let attempt = 0; attempt < CLAIM_ATTEMPTS; attempt += 1) {
      if (attempt > 0) await sleep(CLAIM_RETRY_MS);
      const result = await this.claimGroup.apply({...operation, value});
      if (result.ok) return this.claimed(claim, result.val);
      const {kind, message} = result.val;
      if (kind === 'outcome-unknown') failure = {kind: 'unresolved', message};
      if (failure.kind === 'unavailable') return {kind: 'unavailable', message};
    }
    return failure;
  }

  /**
   * Stores the outcome of a settled claim once and forgets the claim when that
   * is done. A claim that stays is stored again by `storeOpen`.
   */
  async store(claim: OwnClaim): Promise<void> {
    if (this.storing.has(claim) || !claim.isSettled()) return;
    this.storing.add(claim);
    try {
      if (await this.tryStore(claim)) this.forget(claim);
    } catch (error) {
      const fields = {claimId: claim.claimId, message: String(error)};
      this.options.logger.error('outcome not stored', fields);
    }
    this.storing.delete(claim);
  }

  /** Stores up to `limit` outcomes that are not stored yet, oldest first. */
  async storeOpen(limit: number): Promise<void> {
    const open = [...this.options.claims.values()].filter(
      claim => claim.isSettled() && !this.storing.has(claim),
    );
    const claims = open.slice(0, limit);
    await Promise.all(claims.map(claim => this.store(claim)));
  }

  /** The row of a key; undefined when it does not exist or is unreadable. */
  async find(rowKey: string): Promise<FoundClaim | undefined> {
    const row = await this.options.table.get(rowKey);
    return row.ok ? parseFoundClaim(row.val) : undefined;
  }

  private claimed(claim: OwnClaim, result: TableOperationResult): ClaimResult {
    if (result.applied) {
      claim.version = result.version;
      return {kind: 'won'};
    }
    const row = parseFoundClaim(result.current);
    if (row?.claim.claimId !== claim.claimId) return {kind: 'lost', row};
    claim.version = row.version;
    return {kind: 'won'};
  }

  /** Returns whether nothing remains to be stored. */
  private async tryStore(claim: OwnClaim): Promise<boolean> {
    // After the window the row may be removed and belong to a new request.
    if (claim.ageMs > WINDOW_MS) return true;
    const key = claim.options.rowKey;
    const ifVersion = claim.version ?? (await this.versionToReplace(claim));
    if (ifVersion === 'none') return true;
    if (ifVersion === 'unreadable') return false;
    const value = claim.row();
    const operation = {kind: 'put' as const, key, ifVersion, value};
    const result = await this.outcomeGroup.apply(operation);
    if (result.err) return false;
    if (result.val.applied) return true;
    const found = parseFoundClaim(result.val.current);
    if (found?.claim.claimId !== claim.claimId) return true;
    claim.version = found.version;
    return found.claim.state === value.state;
  }

  /**
   * The version at which a claim with an unknown write outcome must be overwritten: its own
   * row, or the row that its late write would still replace.
   */
  private async versionToReplace(
    claim: OwnClaim,
  ): Promise<number | 'none' | 'unreadable'> {
    const row = await this.options.table.get(claim.options.rowKey);
    if (row.err) return 'unreadable';
    const found = parseFoundClaim(row.val);
    if (found?.claim.claimId === claim.claimId) return found.version;
    const version = found?.version ?? 0;
    return version === claim.options.ifVersion ? version : 'none';
  }

  private forget(claim: OwnClaim): void {
    this.options.claims.delete(claim.claimId);
  }
}

function parseFoundClaim(row: TableRow | undefined): FoundClaim | undefined {
  if (!row) return undefined;
  return {version: row.version, claim: claimRowSchema.parse(row.value)};
}
