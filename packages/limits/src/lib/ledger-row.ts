/**
 * The share ledger's row: which instance owns how many parts of every team's
 * rate and burst. Functions here compute successor rows; none loses a part.
 */
import {z} from 'zod';
import {TOTAL_PARTS} from './micro-tokens.js';

const partsSchema = z.number().int().min(0).max(TOTAL_PARTS);

export const ledgerRowSchema = z
  .object({
    owners: z.record(z.string(), partsSchema),
    freeParts: partsSchema,
  })
  .refine(row => sumOf(row.owners) + row.freeParts === TOTAL_PARTS, {
    message: `owned and free parts must add up to ${TOTAL_PARTS}`,
  });
export type LedgerRow = z.infer<typeof ledgerRowSchema>;

export const EMPTY_LEDGER: LedgerRow = {owners: {}, freeParts: TOTAL_PARTS};

export function ledgerKey(shard: number): string {
  return `limits/ledger/${shard}`;
}

export function partsOf(row: LedgerRow, instanceId: string): number {
  return row.owners[instanceId] ?? 0;
}

/** Moves up to `wantedParts` from the free parts to `instanceId`. */
export function takeFree(
  row: LedgerRow,
  instanceId: string,
  wantedParts: number,
): LedgerRow {
  const parts = Math.min(wantedParts, row.freeParts);
  return {
    owners: withParts(row, instanceId, partsOf(row, instanceId) + parts),
    freeParts: row.freeParts - parts,
  };
}

/** Lowers `instanceId` to `keptParts`; the rest becomes free. */
export function releaseTo(
  row: LedgerRow,
  instanceId: string,
  keptParts: number,
): LedgerRow {
  const released = Math.max(0, partsOf(row, instanceId) - keptParts);
  const kept = partsOf(row, instanceId) - released;
  return {
    owners: withParts(row, instanceId, kept),
    freeParts: row.freeParts + released,
  };
}

function withParts(
  row: LedgerRow,
  instanceId: string,
  parts: number,
): Record<string, number> {
  const owners = {...row.owners, [instanceId]: parts};
  if (parts === 0) delete owners[instanceId];
  return owners;
}

function sumOf(owners: Record<string, number>): number {
  return Object.values(owners).reduce((sum, parts) => sum + parts, 0);
}
