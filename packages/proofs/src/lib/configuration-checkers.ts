/**
 * Checkers of P2, P4 and P11 over histories of the configuration fleet. Each
 * returns the violations that it found, each in one line.
 *
 * The bounds are those of the design page.
 */
import {KEYS_STATE_KEY, forgeryOf} from './configuration-fleet.js';
import type {
  ConfigurationFleet,
  Probe,
  ProofKey,
} from './configuration-fleet.js';
import type {History, HistoryEvent} from './history.js';

/** A withdrawn key is refused so long after the acceptance. */
export const WITHDRAWAL_LIMIT_MS = 5000;

/** An accepted configuration is in force everywhere after so long. */
const IN_FORCE_LIMIT_MS = 5000;
/** One period in which instances tell each other their versions. */
const SPREAD_MS = 200;

type ProbeEvent = HistoryEvent & {value: Probe};
type Withdrawn = {stored: boolean; confirmed: string[]};

function probesOf(history: History): ProbeEvent[] {
  return history.ofKind('probe') as ProbeEvent[];
}

/** P11: no running instance goes back to an older version. */
export function checkVersionsNeverDecrease(history: History): string[] {
  const newest = new Map<string, number>();
  const found: string[] = [];
  for (const {atMs, process, value} of probesOf(history)) {
    const before = newest.get(process) ?? 0;
    newest.set(process, Math.max(before, value.version));
    if (value.version >= before) continue;
    found.push(`${atMs}: ${process} went from ${before} to ${value.version}`);
  }
  return found;
}

/**
 * P11 over restarts: a slot never serves with an older version than it did
 * before. A version counts once peers had one period of messages to hear of it.
 */
export function checkRestarts(history: History): string[] {
  const found: string[] = [];
  const served = new Map<number, {atMs: number; version: number}[]>();
  for (const {atMs, process, value} of probesOf(history)) {
    if (!value.serving) continue;
    const times = served.get(value.slot) ?? [];
    const spread = times.filter(time => time.atMs <= atMs - SPREAD_MS);
    const floor = Math.max(0, ...spread.map(time => time.version));
    if (value.version < floor) {
      found.push(`${atMs}: ${process} serves ${value.version} after ${floor}`);
    }
    if (value.version > (times.at(-1)?.version ?? 0)) {
      times.push({atMs, version: value.version});
    }
    served.set(value.slot, times);
  }
  return found;
}

/** P11: two accepted changes never share a version. */
export function checkAcceptedOnce(history: History): string[] {
  const byVersion = new Map<number, string>();
  const found: string[] = [];
  for (const {atMs, operationId, value} of history.ofKind('accepted')) {
    const {version} = value as {version: number};
    const other = byVersion.get(version);
    byVersion.set(version, operationId);
    if (other !== undefined && other !== operationId) {
      found.push(`${atMs}: ${other} and ${operationId} both made ${version}`);
    }
  }
  return found;
}

/** P11: after "in force" no instance serves with an older version. */
export function checkInForce(history: History): string[] {
  const found: string[] = [];
  let inForce = 0;
  for (const event of history.events) {
    if (event.kind === 'in-force') {
      inForce = Math.max(inForce, (event.value as {version: number}).version);
    }
    if (event.kind !== 'probe') continue;
    const {serving, version} = event.value as Probe;
    if (serving && version < inForce) {
      const {atMs, process} = event;
      found.push(`${atMs}: ${process} serves ${version}, not ${inForce}`);
    }
  }
  return found;
}

/** P11: without faults an accepted change is in force within seconds. */
export function checkInForceSoon(history: History): string[] {
  const inForce = new Map(
    history.ofKind('in-force').map(event => [event.operationId, event.atMs]),
  );
  const late = history.ofKind('accepted').filter(({atMs, operationId}) => {
    const knownAtMs = inForce.get(operationId) ?? Infinity;
    return knownAtMs - atMs > IN_FORCE_LIMIT_MS;
  });
  return late.map(event => `${event.atMs}: ${event.operationId} stays pending`);
}

/**
 * P4: a withdrawn key is refused within 5 s of the acceptance. While the table
 * does not hold the withdrawal, that binds the instances that the answer named
 * as confirmed; the others are bound from when the table holds it.
 */
export function checkWithdrawals(fleet: ConfigurationFleet): string[] {
  const found: string[] = [];
  const {history, keys} = fleet;
  for (const event of history.ofKind('withdrawn')) {
    const {stored, confirmed} = event.value as Withdrawn;
    const keyId = event.operationId;
    const key = keys.find(one => one.keyId === keyId)!.key;
    const storedAtMs = stored ? event.atMs : storedTimeOf(fleet, keyId);
    for (const {atMs, process, value} of probesOf(history)) {
      if (value.admitted[key] === undefined) continue;
      const named = stored || confirmed.includes(process);
      const fromMs = named ? event.atMs : Math.max(storedAtMs, event.atMs);
      if (atMs <= fromMs + WITHDRAWAL_LIMIT_MS) continue;
      found.push(`${atMs}: ${process} admits ${keyId} withdrawn at ${fromMs}`);
    }
  }
  return found;
}

/** P2: a request runs only for the team whose key came with it. */
export function checkTeams(history: History, keys: ProofKey[]): string[] {
  const found: string[] = [];
  const teams = new Map(keys.map(({key, team}) => [key, team]));
  const forged = new Set(keys.map(({key}) => forgeryOf(key)));
  for (const {atMs, process, value} of probesOf(history)) {
    for (const [key, team] of Object.entries(value.admitted)) {
      if (!forged.has(key) && teams.get(key) === team) continue;
      found.push(`${atMs}: ${process} ran for ${team} with another's key`);
    }
  }
  return found;
}

function storedTimeOf(fleet: ConfigurationFleet, keyId: string): number {
  const states = fleet.journal.states(KEYS_STATE_KEY);
  const state = states.find(({row}) => {
    const value = row?.value as {withdrawn: string[]} | undefined;
    return value?.withdrawn.includes(keyId);
  });
  return state?.atMs ?? Infinity;
}
