/** State derived from reads of the platform's instance list, which lags. */
import type {ListedInstance} from '@fireflytrack/platform';

/** Bounds the memory used for instances that left the list. */
const MAX_TRACKED_REMOVALS = 4096;

export class ListedInstances {
  private listed = new Map<string, ListedInstance>();
  /** When a read first lacked an instance that had been listed. */
  private readonly removedAtMs = new Map<string, number>();
  /** Start of the last successful read; undefined before the first. */
  private lastReadStartedAtMs: number | undefined;

  /** Applies the result of a read that was started at `startedAtMs`. */
  update(instances: readonly ListedInstance[], startedAtMs: number): void {
    const next = new Map(
      instances.map(instance => [instance.instanceId, instance]),
    );
    for (const instanceId of this.listed.keys()) {
      if (next.has(instanceId)) continue;
      this.removedAtMs.set(instanceId, performance.now());
    }
    for (const instanceId of next.keys()) this.removedAtMs.delete(instanceId);
    for (const instanceId of this.removedAtMs.keys()) {
      if (this.removedAtMs.size <= MAX_TRACKED_REMOVALS) break;
      this.removedAtMs.delete(instanceId);
    }
    this.listed = next;
    this.lastReadStartedAtMs = startedAtMs;
  }

  get(instanceId: string): ListedInstance | undefined {
    return this.listed.get(instanceId);
  }

  all(): ListedInstance[] {
    return [...this.listed.values()];
  }

  hasBeenRead(): boolean {
    return this.lastReadStartedAtMs !== undefined;
  }

  /**
   * How long, according to reads, a previously listed instance has been missing
   * from the list; 0 while it is listed or if it was never listed. Time before
   * `lastReceivedAtMs`, when the instance last sent a frame, does not count.
   */
  absentForMs(instanceId: string, lastReceivedAtMs: number): number {
    const removedAtMs = this.removedAtMs.get(instanceId);
    if (removedAtMs === undefined) return 0;
    const sinceMs = Math.max(removedAtMs, lastReceivedAtMs);
    return Math.max(0, this.lastReadStartedAtMs! - sinceMs);
  }
}
