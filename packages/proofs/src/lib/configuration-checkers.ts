/**
 * Checkers of P2, P4 and P11 over histories of the configuration fleet. Each
 * returns one line per violation. The limits are those of docs/design.md.
 */
import {KEY_SET_ROW_KEY, forgeKey} from './configuration-fleet.js';
import type {
  ConfigurationFleet,
  Probe,
  IssuedKey,
} from './configuration-fleet.js';
import type {History, HistoryEvent} from './history.js';

/** A key must be refused this long after its accepted withdrawal. */
export const WITHDRAWAL_LIMIT_MS = 5000;

/** An accepted configuration must be in force everywhere after this time. */
const IN_FORCE_LIMIT_MS = 5000;
/** Period at which instances broadcast their versions to each other. */
const VERSION_EXCHANGE_PERIOD_MS = 200;

type ProbeEvent = HistoryEvent & {value: Probe};
type WithdrawnValue = {stored: boolean; confirmed: string[]};

function listProbes(history: History): ProbeEvent[] {
  return history.eventsOfKind('probe') as ProbeEvent[];
}

/** P11: a running instance never returns to an older version. */
export function checkVersionsNeverDecrease(history: History): string[] {
  const newest = new Map<string, number>();
  const violations: string[] = [];
  for (const {atMs, process, value} of listProbes(history)) {
    const previous = newest.get(process) ?? 0;
    newest.set(process, Math.max(previous, value.version));
    if (value.version >= previous) continue;
    violations.push(
      `${atMs}: ${process} went from ${previous} to ${value.version}`,
    );
  }
  return violations;
}

/**
 * P11 over restarts: a slot never serves an older version than it served
 * before. A version counts only after one exchange period, in which the peers
 * receive it.
 */
export function checkVersionsOverRestarts(history: History): string[] {
  const violations: string[] = [];
  const servedBySlot = new Map<number, {atMs: number; version: number}[]>();
  for (const {atMs, process, value} of listProbes(history)) {
    if (!value.serving) continue;
    const versions = servedBySlot.get(value.slot) ?? [];
    const known = versions.filter(
      earlier => earlier.atMs <= atMs - VERSION_EXCHANGE_PERIOD_MS,
    );
    const minVersion = Math.max(0, ...known.map(earlier => earlier.version));
    if (value.version < minVersion) {
      violations.push(
        `${atMs}: ${process} serves ${value.version} after ${minVersion}`,
      );
    }
    if (value.version > (versions.at(-1)?.version ?? 0)) {
      versions.push({atMs, version: value.version});
    }
    servedBySlot.set(value.slot, versions);
  }
  return violations;
}

/** P11: no two accepted changes have the same version. */
export function checkUniqueVersions(history: History): string[] {
  const byVersion = new Map<number, string>();
  const violations: string[] = [];
  for (const {atMs, operationId, value} of history.eventsOfKind('accepted')) {
    const {version} = value as {version: number};
    const earlier = byVersion.get(version);
    byVersion.set(version, operationId);
    if (earlier !== undefined && earlier !== operationId) {
      violations.push(
        `${atMs}: ${earlier} and ${operationId} both created version ${version}`,
      );
    }
  }
  return violations;
}

/** P11: once a version is "in force", no instance serves an older one. */
export function checkInForce(history: History): string[] {
  const violations: string[] = [];
  let inForce = 0;
  for (const event of history.events) {
    if (event.kind === 'in-force') {
      inForce = Math.max(inForce, (event.value as {version: number}).version);
    }
    if (event.kind !== 'probe') continue;
    const {serving, version} = event.value as Probe;
    if (serving && version < inForce) {
      const {atMs, process} = event;
      violations.push(`${atMs}: ${process} serves ${version}, not ${inForce}`);
    }
  }
  return violations;
}

/** P11: without faults, an accepted change is in force within 5 s. */
export function checkInForceWithinLimit(history: History): string[] {
  const inForce = new Map(
    history
      .eventsOfKind('in-force')
      .map(event => [event.operationId, event.atMs]),
  );
  const late = history
    .eventsOfKind('accepted')
    .filter(({atMs, operationId}) => {
      const inForceAtMs = inForce.get(operationId) ?? Infinity;
      return inForceAtMs - atMs > IN_FORCE_LIMIT_MS;
    });
  return late.map(event => `${event.atMs}: ${event.operationId} stays pending`);
}

/**
 * P4: a withdrawn key is refused within 5 s. The limit runs from the acceptance
 * for all instances if the withdrawal was stored, else only for those that the
 * response listed as confirmed; for the others it runs from the time at which
 * the table holds the withdrawal.
 */
export function checkWithdrawals(fleet: ConfigurationFleet): string[] {
  const violations: string[] = [];
  const {history, keys} = fleet;
  for (const event of history.eventsOfKind('withdrawn')) {
    const {stored, confirmed} = event.value as WithdrawnValue;
    const keyId = event.operationId;
    const key = keys.find(issued => issued.keyId === keyId)!.key;
    const storedAtMs = stored ? event.atMs : findStoredTime(fleet, keyId);
    for (const {atMs, process, value} of listProbes(history)) {
      if (value.admitted[key] === undefined) continue;
      const countsFromAcceptance = stored || confirmed.includes(process);
      const fromMs = countsFromAcceptance
        ? event.atMs
        : Math.max(storedAtMs, event.atMs);
      if (atMs <= fromMs + WITHDRAWAL_LIMIT_MS) continue;
      violations.push(
        `${atMs}: ${process} accepts ${keyId}, withdrawn at ${fromMs}`,
      );
    }
  }
  return violations;
}

/** P2: a request runs only for the team of the key that it carries. */
export function checkTeams(history: History, keys: IssuedKey[]): string[] {
  const violations: string[] = [];
  const teams = new Map(keys.map(({key, team}) => [key, team]));
  const forged = new Set(keys.map(({key}) => forgeKey(key)));
  for (const {atMs, process, value} of listProbes(history)) {
    for (const [key, team] of Object.entries(value.admitted)) {
      if (!forged.has(key) && teams.get(key) === team) continue;
      violations.push(
        `${atMs}: ${process} ran a request for ${team} with a key of another team`,
      );
    }
  }
  return violations;
}

/** Returns when the table first held the withdrawal; Infinity if never. */
function findStoredTime(fleet: ConfigurationFleet, keyId: string): number {
  const states = fleet.journal.rowStates(KEY_SET_ROW_KEY);
  const state = states.find(({row}) => {
    const value = row?.value as {withdrawn: string[]} | undefined;
    return value?.withdrawn.includes(keyId);
  });
  return state?.atMs ?? Infinity;
}
