/**
 * The row of the share ledger: how many parts of every team's rate and burst
 * each instance owns. The functions that compute a new row preserve the total
 * number of parts.
 */
import {z} from 'zod';
import {TOTAL_PARTS} from './micro-tokens.js';

const partsSchema = z.number().int().min(0).max(TOTAL_PARTS);

export const ledgerRowSchema = z
  .object({
    owners: z.record(z.string(), partsSchema),
    freeParts: partsSchema,
  })
  .refine(row => sumOwnedParts(row.owners) + row.freeParts === TOTAL_PARTS, {
    message: `owned and free parts must add up to ${TOTAL_PARTS}`,
  });
export type LedgerRow = z.infer<typeof ledgerRowSchema>;

export const EMPTY_LEDGER: LedgerRow = {owners: {}, freeParts: TOTAL_PARTS};

export function ledgerKey(shard: number): string {
  return `limits/ledger/${shard}`;
}

export function getOwnedParts(row: LedgerRow, instanceId: string): number {
  return row.owners[instanceId] ?? 0;
}

/** Transfers up to `wantedParts` of the free parts to `instanceId`. */
export function takeFreeParts(
  row: LedgerRow,
  instanceId: string,
  wantedParts: number,
): LedgerRow {
  const parts = Math.min(wantedParts, row.freeParts);
  return {
    owners: setOwnerParts(
      row,
      instanceId,
      getOwnedParts(row, instanceId) + parts,
    ),
    freeParts: row.freeParts - parts,
  };
}

/** Lowers the parts of `instanceId` to `keptParts`; the others become free. */
export function releasePartsAbove(
  row: LedgerRow,
  instanceId: string,
  keptParts: number,
): LedgerRow {
  const released = Math.max(0, getOwnedParts(row, instanceId) - keptParts);
  const kept = getOwnedParts(row, instanceId) - released;
  return {
    owners: setOwnerParts(row, instanceId, kept),
    freeParts: row.freeParts + released,
  };
}

function setOwnerParts(
  row: LedgerRow,
  instanceId: string,
  parts: number,
): Record<string, number> {
  const owners = {...row.owners, [instanceId]: parts};
  if (parts === 0) delete owners[instanceId];
  return owners;
}

function sumOwnedParts(owners: Record<string, number>): number {
  return Object.values(owners).reduce((sum, parts) => sum + parts, 0);
}
