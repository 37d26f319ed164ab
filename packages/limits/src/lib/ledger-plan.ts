/**
 * Decisions about the ledger: how many parts an instance should own, and what
 * a donor gives to which instance.
 */
import {TOTAL_PARTS} from './micro-tokens.js';
import {partsOf} from './ledger-row.js';
import type {LedgerRow} from './ledger-row.js';

// Shares within this fraction of the even share stay: each move costs a write
// of a row that all instances write.
const TOLERANCE = 0.1;

/** The even share, rounded up so that no part stays free. */
export function evenParts(liveInstances: number): number {
  return Math.ceil(TOTAL_PARTS / Math.max(1, liveInstances));
}

/** Whether an instance with `ownParts` should ask a richer one for parts. */
export function isShort(ownParts: number, targetParts: number): boolean {
  return ownParts < targetParts * (1 - TOLERANCE);
}

/** What a donor gives to each asker; empty if it is not rich enough. */
export function planDonation(
  row: LedgerRow,
  donorId: string,
  askerIds: readonly string[],
  targetParts: number,
): Map<string, number> {
  const gifts = new Map<string, number>();
  let own = partsOf(row, donorId);
  for (const askerId of askerIds) {
    const asker = partsOf(row, askerId);
    const missing = targetParts - asker;
    if (!isShort(asker, targetParts) || askerId === donorId) continue;
    const surplus = own - targetParts;
    // A donor near the even share halves the difference; the askers then
    // average with one another until all are within the tolerance.
    const half = Math.floor((own - asker) / 2);
    const gift = Math.min(missing, surplus >= missing ? surplus : half);
    if (gift < targetParts * (TOLERANCE / 2)) continue;
    gifts.set(askerId, gift);
    own -= gift;
  }
  return gifts;
}

/** The row after `donorId` gave `gifts`. */
export function applyDonation(
  row: LedgerRow,
  donorId: string,
  gifts: ReadonlyMap<string, number>,
): LedgerRow {
  const owners = {...row.owners};
  for (const [askerId, parts] of gifts) {
    owners[askerId] = (owners[askerId] ?? 0) + parts;
    owners[donorId] = (owners[donorId] ?? 0) - parts;
  }
  if (owners[donorId] === 0) delete owners[donorId];
  return {owners, freeParts: row.freeParts};
}

/** Instances that own more than `instanceId`, the richest first. */
export function richerOwners(
  row: LedgerRow,
  instanceId: string,
  liveIds: readonly string[],
): string[] {
  const own = partsOf(row, instanceId);
  return liveIds
    .filter(id => id !== instanceId && partsOf(row, id) > own)
    .sort((a, b) => partsOf(row, b) - partsOf(row, a));
}
