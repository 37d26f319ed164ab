/** When a server may be readmitted, and which instance sends the probe. */
import {rankByRendezvous} from '@fireflytrack/membership';
import type {ServerHealth} from './server-health.js';

const MIN_BACKOFF_MS = 5000;
const MAX_BACKOFF_MS = 300_000;
const REPEATED_EJECTION_WINDOW_MS = 600_000;

/** Delay after the given number of consecutive ejections, at least 1. */
export function backoffMs(ejections: number): number {
  const doubled = MIN_BACKOFF_MS * 2 ** Math.max(0, ejections - 1);
  return Math.min(MAX_BACKOFF_MS, doubled);
}

/** Counts an ejection or a failed probe, and schedules the next probe. */
export function delayReadmission(server: ServerHealth): void {
  const nowMs = performance.now();
  const isConsecutive =
    nowMs - server.lastEjectedAtMs < REPEATED_EJECTION_WINDOW_MS;
  server.ejections = isConsecutive ? server.ejections + 1 : 1;
  server.lastEjectedAtMs = nowMs;
  server.readmitAtMs = nowMs + backoffMs(server.ejections);
}

/**
 * Schedules the next probe of a draining server: without backoff, as draining
 * is no fault.
 */
export function delayDrainCheck(server: ServerHealth): void {
  server.readmitAtMs = performance.now() + MIN_BACKOFF_MS;
}

/**
 * Whether `selfId` sends the probe: it ranks first, by rendezvous hashing,
 * among the instances of its region that have the server out of rotation.
 */
export function isProber(
  serverId: string,
  selfId: string,
  peersWithServerOut: readonly string[],
): boolean {
  if (peersWithServerOut.length === 0) return true;
  return (
    rankByRendezvous(serverId, [selfId, ...peersWithServerOut])[0] === selfId
  );
}
