/**
 * Start-time fair queueing: distributes the slots of one service among teams.
 *
 * The start tag of a request is the virtual time at its arrival, or the finish
 * tag of its team's previous request if that is later. The waiting request with
 * the smallest start tag is served next, and its tag becomes the virtual time.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {queueError} from './queue-error.js';
import type {QueueError} from './queue-error.js';

/**
 * Permission to run one of a service's limited number of concurrent requests.
 */
export interface Slot {
  /** Releases the slot; further calls have no effect. */
  release(): void;
}

export type SlotResult = Result<Slot, QueueError>;

// Requests beyond this number would miss their deadlines anyway, and would use
// memory during an overload.
const MAX_WAITING_PER_TEAM = 64;
// Keeps finish tags finite for teams with a weight of zero.
const MIN_WEIGHT = 1e-6;

// Number of released slots after which idle teams are removed.
const RELEASES_PER_SWEEP = 1000;

interface WaitingEntry {
  /** Virtual time when the request arrived. */
  arrivalTag: number;
  deadlineAtMs: number;
  timer: NodeJS.Timeout;
  settle(result: SlotResult): void;
}

interface TeamQueue {
  /**
   * Finish tag of the team's last served request. Requests that miss their
   * deadline do not advance it.
   */
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

  acquireSlot(
    teamName: string,
    deadlineAtMs: number,
  ): SlotResult | Promise<SlotResult> {
    if (deadlineAtMs <= performance.now()) return Err(deadlineError());
    const team = this.getOrCreateTeam(teamName);
    if (this.waiting === 0 && this.inUse < this.slots()) {
      return Ok(this.occupySlot(team, teamName, this.virtualTime));
    }
    if (team.entries.length >= MAX_WAITING_PER_TEAM) {
      const message = `the team has ${MAX_WAITING_PER_TEAM} waiting requests`;
      return Err(queueError('queue-full', message));
    }
    return this.enqueue(team, deadlineAtMs);
  }

  /** Assigns free slots to waiting requests. */
  dispatchWaiting(): void {
    while (this.waiting > 0 && this.inUse < this.slots()) {
      const [teamName, team] = this.findTeamWithSmallestTag();
      const entry = team.entries.shift()!;
      this.waiting -= 1;
      clearTimeout(entry.timer);
      // If the process was paused, the timer may not have fired yet.
      const expired = entry.deadlineAtMs <= performance.now();
      if (expired) entry.settle(Err(deadlineError()));
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
      this.dispatchWaiting();
    });
  }

  private findTeamWithSmallestTag(): [string, TeamQueue] {
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
        if (this.waiting > 0) this.dispatchWaiting();
        if (this.releases % RELEASES_PER_SWEEP === 0) this.removeIdleTeams();
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

  /**
   * Removes teams without waiting requests whose finish tag the virtual time
   * has reached: a new entry for the team gives its requests the same start
   * tags.
   */
  private removeIdleTeams(): void {
    for (const [teamName, team] of this.teams) {
      const idle = team.entries.length === 0;
      if (idle && team.finishTag <= this.virtualTime) {
        this.teams.delete(teamName);
      }
    }
  }
}

/** Start tag of the team's oldest waiting request; infinite if none waits. */
function computeStartTag(team: TeamQueue): number {
  const oldest = team.entries[0];
  return oldest ? Math.max(oldest.arrivalTag, team.finishTag) : Infinity;
}

function deadlineError(): QueueError {
  return queueError('deadline', 'no slot became free before the deadline');
}
