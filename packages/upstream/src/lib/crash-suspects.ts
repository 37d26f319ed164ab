/**
 * The requests that may crash backend servers, as far as this instance knows.
 *
 * A server that goes down makes all its requests suspects. A request that any
 * server runs to a complete response is cleared, because one that crashes
 * servers never is. A request under which enough runs of servers have ended is
 * held back.
 *
 * Instances merge what they know by union: a crash counts once however often it
 * is told, and a cleared crash stays cleared.
 */
import type {Logger} from '@fireflytrack/telemetry';
import {z} from 'zod';
import type {ServerRun} from './known-limits.js';

const crashEvidenceSchema = z.object({
  serverId: z.string().min(1),
  /** Start of the server's run, so that each run counts once. */
  startedAtMs: z.number(),
  ageMs: z.number().nonnegative(),
  /** A later or concurrent response showed that the request is harmless. */
  cleared: z.boolean(),
});

/** What one instance tells another about one request. */
export const suspicionSchema = z.object({
  digest: z.string().min(1),
  headDigest: z.string().min(1),
  route: z.string(),
  team: z.string().optional(),
  service: z.string(),
  crashes: z.array(crashEvidenceSchema),
  /** Trials made since the request is held back. */
  trials: z.number().int().nonnegative(),
  /** Time since it is held back, or since its last trial. */
  heldForMs: z.number().nonnegative().optional(),
});
export type Suspicion = z.infer<typeof suspicionSchema>;

/** Identity of a suspected request. */
export type SuspectIdentity = Pick<
  Suspicion,
  'digest' | 'headDigest' | 'route' | 'team' | 'service'
>;

/** State of a suspected request. */
export interface SuspectView {
  digest: string;
  /** Number of runs of servers that ended under it. */
  crashes: number;
  isHeld: boolean;
  /** How long it has been held back, or since its last trial. */
  heldForMs: number;
  /** Time until one trial is allowed; 0 if it is due. */
  trialInMs: number;
}

export interface CrashSuspectsOptions {
  /** Crashes from which a request is held back. */
  holdAfter: number;
  /** Time until the first trial; doubled after each trial. */
  holdMs: number;
  logger: Logger;
}

interface Crash extends ServerRun {
  atMs: number;
  cleared: boolean;
}

interface Entry {
  identity: SuspectIdentity;
  crashes: Map<string, Crash>;
  trials: number;
  heldSinceMs: number | undefined;
}

type Source = 'own' | 'peer';

export const MAX_SUSPECTS = 1000;
export const MAX_CRASHES_PER_SUSPECT = 32;
export const MAX_HOLD_MS = 3_600_000;
// A crash that no other has joined within this time was most likely not caused by
// the request.
export const CRASH_LIFETIME_MS = 600_000;
const EXPIRY_INTERVAL_MS = 1000;

export class CrashSuspects {
  /** Called when something is known that other instances may not know. */
  onChange: (digest: string, source: Source) => void = () => {};
  private readonly entries = new Map<string, Entry>();
  /** Digests of the heads of the requests that have crashes on record, by route. */
  private readonly headsByRoute = new Map<string, Map<string, number>>();
  private expiredAtMs = -Infinity;

  private constructor(private readonly options: CrashSuspectsOptions) {}

  static create(options: CrashSuspectsOptions): CrashSuspects {
    return new CrashSuspects(options);
  }

  /** Whether a request of the route is suspected. */
  watchesRoute(route: string): boolean {
    return this.headsByRoute.size > 0 && this.headsByRoute.has(route);
  }

  watchesHead(route: string, headDigest: string): boolean {
    return this.headsByRoute.get(route)?.has(headDigest) ?? false;
  }

  /** Returns the state of a request that is suspected. */
  find(digest: string): SuspectView | undefined {
    this.expire();
    const entry = this.entries.get(digest);
    const crashes = entry ? countCrashes(entry) : 0;
    if (!entry || crashes === 0) return undefined;
    const isHeld = crashes >= this.options.holdAfter;
    const nowMs = performance.now();
    const heldForMs = nowMs - (entry.heldSinceMs ?? nowMs);
    const trialInMs = Math.max(0, this.holdMsOf(entry) - heldForMs);
    return {digest, crashes, isHeld, heldForMs, trialInMs};
  }

  /** Records that a run of a server ended under the request. */
  recordCrash(identity: SuspectIdentity, run: ServerRun): void {
    const {serverId, startedAtMs} = run;
    const atMs = performance.now();
    const crash = {serverId, startedAtMs, atMs, cleared: false};
    const entry = this.getOrCreate(identity);
    if (!this.update(entry, 'own', () => addCrash(entry, crash))) return;
    const fields = this.logFields(entry, 'own');
    this.options.logger.info('request suspected', {
      ...fields,
      server: serverId,
    });
    this.onChange(identity.digest, 'own');
  }

  /** Records that a server ran the request to a complete response. */
  recordSuccess(digest: string): void {
    const entry = this.entries.get(digest);
    if (!entry || countCrashes(entry) === 0) return;
    const fields = this.logFields(entry, 'own');
    this.update(entry, 'own', () => {
      for (const crash of entry.crashes.values()) crash.cleared = true;
      return true;
    });
    this.options.logger.info('request cleared', fields);
    this.onChange(digest, 'own');
  }

  /**
   * Takes the one trial that a held request gets at the end of its hold. Only the
   * instance that decides for the whole fleet may call this.
   */
  tryStartTrial(digest: string): boolean {
    const view = this.find(digest);
    const entry = this.entries.get(digest);
    if (!entry || !view?.isHeld || view.trialInMs > 0) return false;
    entry.trials += 1;
    entry.heldSinceMs = performance.now();
    const fields = this.logFields(entry, 'own');
    this.options.logger.info('trial of a held request', fields);
    this.onChange(digest, 'own');
    return true;
  }

  /** Merges what another instance knows; returns whether anything was new. */
  merge(suspicion: Suspicion): boolean {
    this.expire();
    const entry = this.getOrCreate(suspicion);
    const nowMs = performance.now();
    const changed = this.update(entry, 'peer', () => {
      let news = mergeTrials(entry, suspicion, nowMs);
      for (const {ageMs, ...crash} of suspicion.crashes) {
        if (ageMs > CRASH_LIFETIME_MS && suspicion.heldForMs === undefined)
          continue;
        news = addCrash(entry, {...crash, atMs: nowMs - ageMs}) || news;
      }
      return news;
    });
    if (entry.crashes.size === 0) this.remove(entry);
    if (changed) this.onChange(suspicion.digest, 'peer');
    return changed;
  }

  /** Returns what is known about a request, to tell it to others. */
  read(digest: string): Suspicion | undefined {
    const entry = this.entries.get(digest);
    if (!entry) return undefined;
    const nowMs = performance.now();
    const {identity, trials, heldSinceMs} = entry;
    const {digest: ownDigest, headDigest, route, team, service} = identity;
    const crashes = [...entry.crashes.values()].map(
      ({serverId, startedAtMs, atMs, cleared}) => {
        const ageMs = Math.max(0, Math.round(nowMs - atMs));
        return {serverId, startedAtMs, ageMs, cleared};
      },
    );
    return {
      digest: ownDigest,
      headDigest,
      route,
      ...(team === undefined ? {} : {team}),
      service,
      crashes,
      trials,
      ...(heldSinceMs === undefined
        ? {}
        : {heldForMs: Math.max(0, Math.round(nowMs - heldSinceMs))}),
    };
  }

  /** Digests of all requests on record, those with the most crashes first. */
  listDigests(): string[] {
    this.expire();
    const entries = [...this.entries.values()];
    entries.sort((a, b) => countCrashes(b) - countCrashes(a));
    return entries.map(({identity}) => identity.digest);
  }

  count(): {suspected: number; held: number} {
    this.expire();
    const counts = [...this.entries.values()].map(countCrashes);
    const suspected = counts.filter(count => count > 0).length;
    const held = counts.filter(count => count >= this.options.holdAfter).length;
    return {suspected, held};
  }

  dumpState(): unknown {
    return this.listDigests().map(digest => ({
      ...this.read(digest),
      trialInMs: this.find(digest)?.trialInMs,
    }));
  }

  private getOrCreate(identity: SuspectIdentity): Entry {
    const known = this.entries.get(identity.digest);
    if (known) return known;
    if (this.entries.size >= MAX_SUSPECTS) this.makeRoom();
    const {digest, headDigest, route, team, service} = identity;
    const entry: Entry = {
      identity: {digest, headDigest, route, team, service},
      crashes: new Map(),
      trials: 0,
      heldSinceMs: undefined,
    };
    this.entries.set(digest, entry);
    return entry;
  }

  /** Applies a change and updates what depends on the number of crashes. */
  private update(entry: Entry, source: Source, change: () => boolean): boolean {
    const before = countCrashes(entry);
    const changed = change();
    const after = countCrashes(entry);
    const {holdAfter, logger} = this.options;
    if (before === 0 && after > 0) this.watch(entry, 1);
    if (before > 0 && after === 0) this.watch(entry, -1);
    const wasHeld = before >= holdAfter;
    const isHeld = after >= holdAfter;
    if (isHeld) entry.heldSinceMs ??= performance.now();
    else entry.heldSinceMs = undefined;
    if (isHeld !== wasHeld) {
      const fields = this.logFields(entry, source);
      if (isHeld) logger.warn('request held back', fields);
      else logger.info('request no longer held back', fields);
    }
    return changed;
  }

  private watch(entry: Entry, change: number): void {
    const {route, headDigest} = entry.identity;
    const heads = this.headsByRoute.get(route) ?? new Map<string, number>();
    const count = (heads.get(headDigest) ?? 0) + change;
    if (count > 0) heads.set(headDigest, count);
    else heads.delete(headDigest);
    if (heads.size > 0) this.headsByRoute.set(route, heads);
    else this.headsByRoute.delete(route);
  }

  private remove(entry: Entry): void {
    if (countCrashes(entry) > 0) this.watch(entry, -1);
    this.entries.delete(entry.identity.digest);
  }

  /** Drops the request with the fewest crashes, the oldest of several. */
  private makeRoom(): void {
    let least: Entry | undefined;
    for (const entry of this.entries.values()) {
      if (!least || countCrashes(entry) < countCrashes(least)) least = entry;
    }
    if (least) this.remove(least);
  }

  private holdMsOf({trials}: Entry): number {
    return Math.min(MAX_HOLD_MS, this.options.holdMs * 2 ** trials);
  }

  private expire(): void {
    const nowMs = performance.now();
    if (this.entries.size === 0) return;
    if (nowMs - this.expiredAtMs < EXPIRY_INTERVAL_MS) return;
    this.expiredAtMs = nowMs;
    for (const entry of [...this.entries.values()]) {
      const {heldSinceMs, crashes} = entry;
      if (heldSinceMs !== undefined) {
        const endMs = heldSinceMs + this.holdMsOf(entry) + MAX_HOLD_MS;
        if (nowMs >= endMs) this.remove(entry);
        continue;
      }
      const before = countCrashes(entry);
      for (const [key, {atMs}] of crashes) {
        if (nowMs - atMs >= CRASH_LIFETIME_MS) crashes.delete(key);
      }
      if (before > 0 && countCrashes(entry) === 0) this.watch(entry, -1);
      if (crashes.size === 0) this.remove(entry);
    }
  }

  private logFields(entry: Entry, source: Source): Record<string, unknown> {
    const {digest, route, team, service} = entry.identity;
    const counted = [...entry.crashes.values()].filter(item => !item.cleared);
    return {
      fingerprint: digest,
      route,
      team,
      service,
      crashes: counted.length,
      servers: counted.map(({serverId}) => serverId),
      source,
    };
  }
}

function countCrashes({crashes}: Entry): number {
  let count = 0;
  for (const {cleared} of crashes.values()) if (!cleared) count += 1;
  return count;
}

function addCrash(entry: Entry, crash: Crash): boolean {
  const key = `${crash.serverId}@${crash.startedAtMs}`;
  const known = entry.crashes.get(key);
  if (known) {
    if (known.cleared || !crash.cleared) return false;
    known.cleared = true;
    return true;
  }
  if (entry.crashes.size >= MAX_CRASHES_PER_SUSPECT) {
    // Only an older crash makes room: instances would otherwise tell each other
    // forever of crashes that they have dropped.
    const oldest = findOldestCleared(entry);
    if (!oldest || oldest[1].atMs >= crash.atMs) return false;
    entry.crashes.delete(oldest[0]);
  }
  entry.crashes.set(key, crash);
  return true;
}

function findOldestCleared({crashes}: Entry): [string, Crash] | undefined {
  const cleared = [...crashes].filter(([, crash]) => crash.cleared);
  return cleared.sort(([, a], [, b]) => a.atMs - b.atMs)[0];
}

/** Takes over the trials of another instance if it knows of more. */
function mergeTrials(
  entry: Entry,
  {trials, heldForMs}: Suspicion,
  nowMs: number,
): boolean {
  const hasMore = trials > entry.trials;
  const isFirst = entry.heldSinceMs === undefined && trials === entry.trials;
  if (heldForMs !== undefined && (hasMore || isFirst)) {
    entry.heldSinceMs = nowMs - heldForMs;
  }
  entry.trials = Math.max(entry.trials, trials);
  return hasMore;
}
