/** Checks the health properties on a recorded history. */
import type {HealthTransition} from '@fireflytrack/health';
import type {FakeServerFaults} from './health-fake-server.js';
import type {RotationSnapshot} from './health-rotation.js';
import type {History, HistoryEvent} from './history.js';

const SLOT_TOLERANCE = 1e-6;

/**
 * Checks P1: whenever an instance has withdrawn servers because of their
 * health, the capacity left in its rotation is at or above the floor. Returns
 * one message per violation.
 */
export function findFloorViolations(
  history: History,
  capacityFloor: number,
): string[] {
  const violations = [];
  for (const {atMs, process, value} of history.eventsOfKind('rotation')) {
    const servers = value as RotationSnapshot;
    const withdrawn = servers.filter(server => server.status === 'withdrawn');
    if (withdrawn.length === 0) continue;
    let totalSlots = 0;
    let remainingSlots = 0;
    for (const server of servers) {
      totalSlots += server.slots;
      remainingSlots += server.capacitySlots;
    }
    if (remainingSlots >= capacityFloor * totalSlots - SLOT_TOLERANCE) continue;
    violations.push(
      `${Math.round(atMs)} ms: ${process} withdrew ${withdrawn.length} servers ` +
        `and kept ${remainingSlots.toFixed(1)} of ${totalSlots} slots`,
    );
  }
  return violations;
}

/**
 * Checks P9: nothing is sent to a server that has been draining for more than
 * `graceMs`. Returns one message per violation.
 */
export function findRequestsToDrainingServers(
  history: History,
  graceMs: number,
): string[] {
  const violations: string[] = [];
  const drainingSinceMs = new Map<string, number>();
  for (const {atMs, kind, process, operationId, value} of history.events) {
    if (kind === 'draining') {
      if (value !== true) drainingSinceMs.delete(operationId);
      else if (!drainingSinceMs.has(operationId)) {
        drainingSinceMs.set(operationId, atMs);
      }
    }
    if (kind !== 'sent') continue;
    const sinceMs = drainingSinceMs.get(operationId);
    if (sinceMs === undefined || atMs <= sinceMs + graceMs) continue;
    const drainingMs = Math.round(atMs - sinceMs);
    violations.push(
      `${process} sent to ${operationId}, draining for ${drainingMs} ms`,
    );
  }
  return violations;
}

/** Returns the time from `faultAtMs` to the last request sent to the server. */
export function computeDetectionMs(
  history: History,
  serverId: string,
  faultAtMs: number,
): number {
  let lastMs = faultAtMs;
  for (const {atMs, operationId} of history.eventsOfKind('sent')) {
    if (operationId === serverId) lastMs = Math.max(lastMs, atMs);
  }
  return lastMs - faultAtMs;
}

/**
 * Lists the ejections by any instance, one message each: recorded transitions
 * of pooled selectors, or else withdrawals seen in the rotations.
 */
export function findEjections(history: History): string[] {
  const ejections = listEjections(history).map(
    ({atMs, process, operationId, value}) =>
      `${Math.round(atMs)} ms: ${process} ejected ${operationId} by ` +
      (value as HealthTransition).reason,
  );
  const isPooled = history.eventsOfKind('transition').length > 0;
  return isPooled ? ejections : findWithdrawals(history);
}

/** A naive selector reports no transitions, only its rotation shows them. */
function findWithdrawals(history: History): string[] {
  const withdrawals = [];
  for (const {atMs, process, value} of history.eventsOfKind('rotation')) {
    for (const {serverId, status} of value as RotationSnapshot) {
      if (status !== 'withdrawn') continue;
      withdrawals.push(
        `${Math.round(atMs)} ms: ${process} ejected ${serverId}`,
      );
    }
  }
  return withdrawals;
}

/** Lists ejections of servers that had no fault during the last `graceMs`. */
export function findUnjustifiedEjections(
  history: History,
  graceMs: number,
): string[] {
  const faultyUntilMs = new Map<string, number>();
  const violations = [];
  for (const event of history.events) {
    if (event.kind === 'faults') {
      const isFaulty = hasGrayFault(event.value as FakeServerFaults);
      const untilMs = isFaulty ? Infinity : event.atMs + graceMs;
      if (isFaulty || faultyUntilMs.has(event.operationId)) {
        faultyUntilMs.set(event.operationId, untilMs);
      }
    }
    if (!isEjection(event)) continue;
    const untilMs = faultyUntilMs.get(event.operationId) ?? -Infinity;
    if (event.atMs <= untilMs) continue;
    const atMs = Math.round(event.atMs);
    violations.push(
      `${atMs} ms: ${event.process} ejected ${event.operationId}`,
    );
  }
  return violations;
}

/** Counts how often each instance readmitted the server after withdrawing it. */
export function countReadmissionsByInstance(
  history: History,
  serverId: string,
): Map<string, number> {
  const counts = new Map<string, number>();
  const withdrawnAt = new Set<string>();
  for (const {process, value} of history.eventsOfKind('rotation')) {
    const servers = value as RotationSnapshot;
    const status = servers.find(server => server.serverId === serverId)?.status;
    if (status === 'withdrawn') withdrawnAt.add(process);
    if (status !== 'in-rotation' || !withdrawnAt.delete(process)) continue;
    counts.set(process, (counts.get(process) ?? 0) + 1);
  }
  return counts;
}

function listEjections(history: History): HistoryEvent[] {
  return history.events.filter(isEjection);
}

function isEjection(event: HistoryEvent): boolean {
  if (event.kind !== 'transition') return false;
  return (event.value as HealthTransition).to === 'ejected';
}

function hasGrayFault({slowFactor, wrongShare, errorShare}: FakeServerFaults) {
  return slowFactor > 1 || wrongShare + errorShare > 0;
}
