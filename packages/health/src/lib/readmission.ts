/** When a server may be readmitted, and which instance sends the probe. */
import {rankByRendezvous} from '@fireflytrack/membership';
import type {ServerHealth} from './server-health.js';

const MIN_BACKOFF_MS = 5000;
const MAX_BACKOFF_MS = 300_000;
const REPEATED_EJECTION_WINDOW_MS = 600_000;

/** Wait after the given ejection, counted from 1. */
export function backoffMs(ejections: number): number {
  const doubled = MIN_BACKOFF_MS * 2 ** Math.max(0, ejections - 1);
  return Math.min(MAX_BACKOFF_MS, doubled);
}

/** Counts an ejection, or a failed probe, and sets the next attempt. */
export function delayReadmission(server: ServerHealth): void {
  const nowMs = performance.now();
  const isRepeat = nowMs - server.lastEjectedAtMs < REPEATED_EJECTION_WINDOW_MS;
  server.ejections = isRepeat ? server.ejections + 1 : 1;
  server.lastEjectedAtMs = nowMs;
  server.readmitAtMs = nowMs + backoffMs(server.ejections);
}

/** Draining servers are probed at a fixed interval: draining is not a fault. */
export function delayDrainCheck(server: ServerHealth): void {
  server.readmitAtMs = performance.now() + MIN_BACKOFF_MS;
}

/**
 * Whether `selfId` sends the probe: the first, by rendezvous choice, of the
 * instances of its region that keep the server out.
 */
export function isProber(
  serverId: string,
  selfId: string,
  othersKeepingOut: readonly string[],
): boolean {
  if (othersKeepingOut.length === 0) return true;
  return (
    rankByRendezvous(serverId, [selfId, ...othersKeepingOut])[0] === selfId
  );
}
