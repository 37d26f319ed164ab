/**
 * Start-time fair queueing of one service's slots among teams.
 *
 * Each request gets a start tag: the virtual time, or the finish tag of its
 * team's previous request if that is later. The waiting request with the
 * smallest start tag is served first, and its tag becomes the virtual time.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {queueError} from './queue-error.js';
import type {QueueError} from './queue-error.js';

/** A place among the requests that a service runs at once. */
export interface Slot {
  /** Frees the slot; further calls have no effect. */
  release(): void;
}

export type SlotResult = Result<Slot, QueueError>;

// More waiting requests than this would miss their deadlines anyway and cost
// memory during an overload.
const MAX_WAITING_PER_TEAM = 64;
// Keeps the tags finite for a weight of zero.
const MIN_WEIGHT = 1e-6;

// Teams without a claim on the past are forgotten every so many releases.
const RELEASES_PER_SWEEP = 1000;

interface WaitingEntry {
  /** The virtual time at its arrival. */
  arrivalTag: number;
  deadlineAtMs: number;
  timer: NodeJS.Timeout;
  settle(result: SlotResult): void;
}

interface TeamQueue {
  /** Finish tag of the team's last served request; dropped ones cost none. */
  finishTag: number;
  entries: WaitingEntry[];
}

export class ServiceQueue {
  private readonly teams = new Map<string, TeamQueue>();
  private virtualTime = 0;
  private inUse = 0;
  private waiting = 0;
  private releases = 0;

  private constructor(
    private readonly slots: () => number,
    private readonly weight: (teamName: string) => number,
  ) {}

  static create(
    slots: () => number,
    weight: (teamName: string) => number,
  ): ServiceQueue {
    return new ServiceQueue(slots, weight);
  }

  enter(
    teamName: string,
    deadlineAtMs: number,
  ): SlotResult | Promise<SlotResult> {
    if (deadlineAtMs <= performance.now()) return Err(deadlineError());
    const team = this.getOrCreateTeam(teamName);
    if (this.waiting === 0 && this.inUse < this.slots()) {
      return Ok(this.occupySlot(team, teamName, this.virtualTime));
    }
    if (team.entries.length >= MAX_WAITING_PER_TEAM) {
      const message = `${MAX_WAITING_PER_TEAM} requests of the team wait`;
      return Err(queueError('queue-full', message));
    }
    return this.enqueue(team, deadlineAtMs);
  }

  /** Serves waiting requests while slots are free. */
  dispatch(): void {
    while (this.waiting > 0 && this.inUse < this.slots()) {
      const [teamName, team] = this.findNextTeam();
      const entry = team.entries.shift()!;
      this.waiting -= 1;
      clearTimeout(entry.timer);
      // After a pause of the process the timer may be later than this.
      const late = entry.deadlineAtMs <= performance.now();
      if (late) entry.settle(Err(deadlineError()));
      else entry.settle(Ok(this.occupySlot(team, teamName, entry.arrivalTag)));
    }
  }

  state(): Record<string, unknown> {
    const {inUse, waiting} = this;
    return {slots: this.slots(), inUse, waiting, teams: this.teams.size};
  }

  private enqueue(team: TeamQueue, deadlineAtMs: number): Promise<SlotResult> {
    return new Promise(settle => {
      const arrivalTag = this.virtualTime;
      const waitMs = deadlineAtMs - performance.now();
      const timer = setTimeout(() => {
        const index = team.entries.indexOf(entry);
        if (index < 0) return;
        team.entries.splice(index, 1);
        this.waiting -= 1;
        settle(Err(deadlineError()));
      }, waitMs);
      const entry: WaitingEntry = {arrivalTag, deadlineAtMs, timer, settle};
      team.entries.push(entry);
      this.waiting += 1;
      this.dispatch();
    });
  }

  private findNextTeam(): [string, TeamQueue] {
    let best: [string, TeamQueue] | undefined;
    let bestTag = Infinity;
    for (const entry of this.teams) {
      const tag = computeStartTag(entry[1]);
      if (tag >= bestTag) continue;
      best = entry;
      bestTag = tag;
    }
    return best!;
  }

  private occupySlot(
    team: TeamQueue,
    teamName: string,
    arrivalTag: number,
  ): Slot {
    const tag = Math.max(arrivalTag, team.finishTag);
    team.finishTag = tag + 1 / Math.max(MIN_WEIGHT, this.weight(teamName));
    this.virtualTime = Math.max(this.virtualTime, tag);
    this.inUse += 1;
    let released = false;
    return {
      release: () => {
        if (released) return;
        released = true;
        this.inUse -= 1;
        this.releases += 1;
        if (this.waiting > 0) this.dispatch();
        if (this.releases % RELEASES_PER_SWEEP === 0) this.forgetIdleTeams();
      },
    };
  }

  private getOrCreateTeam(teamName: string): TeamQueue {
    const known = this.teams.get(teamName);
    if (known) return known;
    const created = {finishTag: 0, entries: []};
    this.teams.set(teamName, created);
    return created;
  }

  /** A team without waiting requests starts anew at the virtual time. */
  private forgetIdleTeams(): void {
    for (const [teamName, team] of this.teams) {
      const idle = team.entries.length === 0;
      if (idle && team.finishTag <= this.virtualTime) {
        this.teams.delete(teamName);
      }
    }
  }
}

/** Start tag of the oldest waiting request; infinite without one. */
function computeStartTag(team: TeamQueue): number {
  const oldest = team.entries[0];
  return oldest ? Math.max(oldest.arrivalTag, team.finishTag) : Infinity;
}

function deadlineError(): QueueError {
  return queueError('deadline', 'no slot became free before the deadline');
}
