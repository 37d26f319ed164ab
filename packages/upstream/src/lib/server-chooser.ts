/**
 * Chooses the server for one attempt. A server that named a limit is used only
 * with a grant; without one, the best server that has no limit is used.
 *
 * What a server says of itself comes first: one that leaves or has asked for a
 * pause is no candidate, even if the floor, or the lack of another, asks for it.
 * Limits come next, then avoidance (which the floor may end), trial, distance
 * and warm-up as penalties of the picker.
 */
import type {KnownLimits} from './known-limits.js';
import type {GrantDecision, LimitGrants} from './limit-grants.js';
import type {PickOptions, RankedServer, ServerPicker} from './server-picker.js';
import type {ServerRecord} from './server-record.js';

export interface ServerChooserOptions {
  service: string;
  picker: ServerPicker;
  limits: KnownLimits;
  grants: LimitGrants;
}

/** The request that an attempt belongs to. */
export interface ChoiceContext {
  team: string | undefined;
  rank: number;
}

export type Choice =
  | {kind: 'server'; record: ServerRecord; turnedAway: string[]}
  /** Every server is at its limit. */
  | {
      kind: 'at-limit';
      reason: string;
      retryAfterMs: number;
      turnedAway: string[];
    }
  /** Every server leaves or has asked for a pause. */
  | {
      kind: 'withdrawn';
      reason: string;
      /** When the first pause ends; undefined if all servers leave. */
      retryAfterMs: number | undefined;
      turnedAway: string[];
    }
  /** No server has a free connection. */
  | {kind: 'none'};

// Bounds the size of a grant request.
const MAX_CANDIDATES = 16;
// A server that is at its limit isn't asked for again until it may have room,
// plus a random share of that time, so that the instances don't ask in step.
const ASK_AGAIN_SPREAD = 1;

export class ServerChooser {
  /** Choices of servers that were not made because of a limit. */
  turnedAway = 0;
  /** Choices that were refused because every server leaves or pauses. */
  withdrawn = 0;
  /** Until when each server is not asked for, by monotonic time. */
  private readonly deniedUntilMs = new WeakMap<ServerRecord, number>();

  private constructor(private readonly options: ServerChooserOptions) {}

  static create(options: ServerChooserOptions): ServerChooser {
    return new ServerChooser(options);
  }

  /** Resolves immediately, without a promise, if no limit is involved. */
  choose(
    records: readonly ServerRecord[],
    pickOptions: PickOptions,
    context: ChoiceContext,
  ): Choice | Promise<Choice> {
    const {picker, limits} = this.options;
    const nowMs = performance.now();
    const willing = records.some(record => record.isWithdrawn(nowMs))
      ? records.filter(record => !record.isWithdrawn(nowMs))
      : records;
    if (willing.length === 0 && records.length > 0) {
      return this.refuse(records, nowMs);
    }
    if (limits.size === 0) return toChoice(picker.pick(willing, pickOptions));
    const ranked = picker.rank(willing, pickOptions);
    const best = ranked[0]?.record;
    return best && limits.find(best.run)
      ? this.chooseAmongLimited(ranked, context)
      : toChoice(best);
  }

  private refuse(records: readonly ServerRecord[], nowMs: number): Choice {
    this.withdrawn += 1;
    const ends = records
      .filter(({signals}) => !signals.isLeaving)
      .map(({signals}) => signals.pausedUntilMs);
    return {
      kind: 'withdrawn',
      reason: 'every server of the service leaves or has asked for a pause',
      retryAfterMs: ends.length === 0 ? undefined : Math.min(...ends) - nowMs,
      turnedAway: records.map(({serverId}) => serverId),
    };
  }

  private async chooseAmongLimited(
    ranked: readonly RankedServer[],
    context: ChoiceContext,
  ): Promise<Choice> {
    const {limits, grants, service} = this.options;
    const firstFree = ranked.findIndex(({record}) => !limits.find(record.run));
    const alternative = ranked[firstFree]?.record;
    const isOnlyChoice = alternative === undefined;
    const limited = isOnlyChoice ? ranked : ranked.slice(0, firstFree);
    const nowMs = performance.now();
    // If there is no other server, who gets the room is decided by whoever
    // counts all requests.
    const candidates = limited
      .filter(
        ({record}) =>
          isOnlyChoice || nowMs >= (this.deniedUntilMs.get(record) ?? 0),
      )
      .slice(0, MAX_CANDIDATES)
      .map(({record}) => record);
    const decision: GrantDecision =
      candidates.length === 0
        ? {kind: 'at-limit', retryAfterMs: 0}
        : await grants.requestGrant({
            service,
            ...context,
            candidates: candidates.flatMap(
              record => limits.find(record.run) ?? [],
            ),
            isOnlyChoice,
          });
    return this.applyDecision(decision, candidates, limited, alternative);
  }

  private applyDecision(
    decision: GrantDecision,
    candidates: readonly ServerRecord[],
    limited: readonly RankedServer[],
    alternative: ServerRecord | undefined,
  ): Choice {
    const record =
      decision.kind === 'granted'
        ? candidates.find(({serverId}) => serverId === decision.serverId)
        : undefined;
    const turnedAway = limited
      .map(({record: passedOver}) => passedOver)
      .filter(passedOver => passedOver !== record)
      .map(({serverId}) => serverId);
    if (record) return toChoice(record);
    this.turnedAway += 1;
    const retryAfterMs =
      decision.kind === 'granted' ? 0 : decision.retryAfterMs;
    for (const denied of candidates) this.deny(denied, retryAfterMs);
    if (alternative) return {kind: 'server', record: alternative, turnedAway};
    const reason =
      decision.kind === 'unreachable'
        ? 'every server has a limit, and nobody who grants requests is reached'
        : 'every server of the service is at its limit';
    return {kind: 'at-limit', reason, retryAfterMs, turnedAway};
  }

  private deny(record: ServerRecord, retryAfterMs: number): void {
    const spread = 1 + ASK_AGAIN_SPREAD * Math.random();
    const untilMs = performance.now() + retryAfterMs * spread;
    this.deniedUntilMs.set(record, untilMs);
  }
}

function toChoice(record: ServerRecord | undefined): Choice {
  return record ? {kind: 'server', record, turnedAway: []} : {kind: 'none'};
}
