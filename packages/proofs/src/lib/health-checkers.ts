/** Checkers of the health properties over a recorded history. */
import type {HealthTransition} from '@fireflytrack/health';
import type {FakeServerFaults} from './health-fake-server.js';
import type {RotationSnapshot} from './health-rotation.js';
import type {History, HistoryEvent} from './history.js';

const ROUNDING_SLOTS = 1e-6;

/**
 * P1: whenever an instance withdraws a server for its health, the rest in its
 * rotation is at or above the floor.
 */
export function findFloorViolations(
  history: History,
  capacityFloor: number,
): string[] {
  const violations = [];
  for (const {atMs, process, value} of history.ofKind('rotation')) {
    const servers = value as RotationSnapshot;
    const withdrawn = servers.filter(server => server.use === 'withdrawn');
    if (withdrawn.length === 0) continue;
    let totalSlots = 0;
    let leftSlots = 0;
    for (const server of servers) {
      totalSlots += server.slots;
      leftSlots += server.capacitySlots;
    }
    if (leftSlots >= capacityFloor * totalSlots - ROUNDING_SLOTS) continue;
    violations.push(
      `${Math.round(atMs)} ms: ${process} withdrew ${withdrawn.length} servers ` +
        `and kept ${leftSlots.toFixed(1)} of ${totalSlots} slots`,
    );
  }
  return violations;
}

/** P9: nothing is sent to a server that has been draining for `graceMs`. */
export function findWorkAfterLeaving(
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
    const leavingMs = Math.round(atMs - sinceMs);
    violations.push(
      `${process} sent to ${operationId}, leaving for ${leavingMs} ms`,
    );
  }
  return violations;
}

/** Time from `faultAtMs` to the last request sent to the server. */
export function detectionMs(
  history: History,
  serverId: string,
  faultAtMs: number,
): number {
  let lastMs = faultAtMs;
  for (const {atMs, operationId} of history.ofKind('sent')) {
    if (operationId === serverId) lastMs = Math.max(lastMs, atMs);
  }
  return lastMs - faultAtMs;
}

/** Servers that were taken out for pooled or naive reasons, by instance. */
export function findEjections(history: History): string[] {
  const told = ejections(history).map(
    ({atMs, process, operationId, value}) =>
      `${Math.round(atMs)} ms: ${process} ejected ${operationId} by ` +
      (value as HealthTransition).reason,
  );
  const isPooled = history.ofKind('transition').length > 0;
  return isPooled ? told : findWithdrawals(history);
}

/** A naive selector tells no transitions; its rotation shows them. */
function findWithdrawals(history: History): string[] {
  const withdrawals = [];
  for (const {atMs, process, value} of history.ofKind('rotation')) {
    for (const {serverId, use} of value as RotationSnapshot) {
      if (use !== 'withdrawn') continue;
      withdrawals.push(
        `${Math.round(atMs)} ms: ${process} ejected ${serverId}`,
      );
    }
  }
  return withdrawals;
}

/** Ejections of servers that were without any fault for the last `graceMs`. */
export function findUnjustifiedEjections(
  history: History,
  graceMs: number,
): string[] {
  const faultyUntilMs = new Map<string, number>();
  const violations = [];
  for (const event of history.events) {
    if (event.kind === 'faults') {
      const isFaulty = isGray(event.value as FakeServerFaults);
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

/** How often each instance put the server back in rotation by a probe. */
export function readmissionsByInstance(
  history: History,
  serverId: string,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const {process, operationId, value} of history.ofKind('transition')) {
    const {reason} = value as HealthTransition;
    if (operationId !== serverId || reason !== 'probe') continue;
    counts.set(process, (counts.get(process) ?? 0) + 1);
  }
  return counts;
}

function ejections(history: History): HistoryEvent[] {
  return history.events.filter(isEjection);
}

function isEjection(event: HistoryEvent): boolean {
  if (event.kind !== 'transition') return false;
  return (event.value as HealthTransition).to === 'ejected';
}

function isGray({slowFactor, wrongShare, errorShare}: FakeServerFaults) {
  return slowFactor > 1 || wrongShare + errorShare > 0;
}
