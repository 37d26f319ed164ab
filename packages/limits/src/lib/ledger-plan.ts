/**
 * Computes how many parts of the ledger an instance should own, and how many a
 * donor transfers to which instance.
 */
import {TOTAL_PARTS} from './micro-tokens.js';
import {getOwnedParts} from './ledger-row.js';
import type {LedgerRow} from './ledger-row.js';

// Shares within this fraction of the even share are not adjusted: each transfer
// costs a write to a row that all instances write.
const SHARE_TOLERANCE = 0.1;

/** The even share in parts, rounded up so that no part remains free. */
export function computeEvenShare(liveInstances: number): number {
  return Math.ceil(TOTAL_PARTS / Math.max(1, liveInstances));
}

/**
 * Whether an instance with `ownParts` should request parts from a larger owner.
 */
export function isBelowTarget(ownParts: number, targetParts: number): boolean {
  return ownParts < targetParts * (1 - SHARE_TOLERANCE);
}

/** Parts that a donor transfers to each requester; empty without a surplus. */
export function planDonation(
  row: LedgerRow,
  donorId: string,
  requesterIds: readonly string[],
  targetParts: number,
): Map<string, number> {
  const donations = new Map<string, number>();
  let donorParts = getOwnedParts(row, donorId);
  for (const requesterId of requesterIds) {
    const requesterParts = getOwnedParts(row, requesterId);
    const missing = targetParts - requesterParts;
    if (!isBelowTarget(requesterParts, targetParts) || requesterId === donorId)
      continue;
    const surplus = donorParts - targetParts;
    // A donor near the even share transfers half of the difference; repeated
    // transfers then converge until all shares are within the tolerance.
    const half = Math.floor((donorParts - requesterParts) / 2);
    const donation = Math.min(missing, surplus >= missing ? surplus : half);
    if (donation < targetParts * (SHARE_TOLERANCE / 2)) continue;
    donations.set(requesterId, donation);
    donorParts -= donation;
  }
  return donations;
}

/** Returns the row after `donorId` transferred `donations` by requester id. */
export function applyDonation(
  row: LedgerRow,
  donorId: string,
  donations: ReadonlyMap<string, number>,
): LedgerRow {
  const owners = {...row.owners};
  for (const [requesterId, parts] of donations) {
    owners[requesterId] = (owners[requesterId] ?? 0) + parts;
    owners[donorId] = (owners[donorId] ?? 0) - parts;
  }
  if (owners[donorId] === 0) delete owners[donorId];
  return {owners, freeParts: row.freeParts};
}

/** Instances that own more parts than `instanceId`, the largest first. */
export function findLargerOwners(
  row: LedgerRow,
  instanceId: string,
  liveIds: readonly string[],
): string[] {
  const own = getOwnedParts(row, instanceId);
  return liveIds
    .filter(id => id !== instanceId && getOwnedParts(row, id) > own)
    .sort((a, b) => getOwnedParts(row, b) - getOwnedParts(row, a));
}
