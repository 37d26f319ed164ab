/**
 * The leaders of all zones, as read from the shared table.
 *
 * A table that returned from an older copy lacks rows of leaders that still act,
 * or names their predecessors. Such leaders are kept until their rows had time to
 * be written again, or another instance has written the row since.
 */
import type {TableRow} from '@fireflytrack/platform';
import {isLeaderKey, parseLeaders} from './leader-row.js';
import type {Leader} from './leader-row.js';

// Leaders read their rows every 2 s and write them again.
const KEPT_MS = 5000;

export class LeaderView {
  private leaders = new Map<string, Leader>();
  /** Keys of all leader rows that were ever read, also of those not valid. */
  private readonly keysSeen = new Set<string>();
  private era: number | undefined;
  /** Leaders of the previous era. */
  private kept = new Map<string, Leader>();
  private keptUntilMs = 0;
  /** Versions of the rows at the first read of the era. */
  private restoredVersions = new Map<string, number>();

  static create(): LeaderView {
    return new LeaderView();
  }

  /** Applies the rows of a table in its era `era`. */
  apply(rows: readonly TableRow[], era: number): void {
    const read = parseLeaders(rows);
    for (const {key} of rows) if (isLeaderKey(key)) this.keysSeen.add(key);
    if (this.era !== undefined && era > this.era) {
      this.kept = new Map(this.leaders);
      this.keptUntilMs = performance.now() + KEPT_MS;
      this.restoredVersions = new Map(
        [...read].map(([zone, {version}]) => [zone, version]),
      );
    }
    this.era = era;
    this.leaders = new Map([...read].map(([zone, {leader}]) => [zone, leader]));
    if (performance.now() >= this.keptUntilMs) return;
    for (const [zone, leader] of this.kept) {
      const version = read.get(zone)?.version;
      if (version === this.restoredVersions.get(zone)) {
        this.leaders.set(zone, leader);
      }
    }
  }

  get(zone: string): Leader | undefined {
    return this.leaders.get(zone);
  }

  all(): Leader[] {
    return [...this.leaders.values()];
  }

  /**
   * Zones that ever had a leader. A zone whose row is damaged or lost still acts,
   * so rates are divided by this number.
   */
  get zonesSeen(): number {
    return this.keysSeen.size;
  }
}
