/** State derived from reads of the platform's instance list, which lags. */
import type {ListedInstance} from '@fireflytrack/platform';

/** Bounds the memory of instances that ended. */
const MAX_REMOVED = 4096;

export class ListedInstances {
  private listed = new Map<string, ListedInstance>();
  /** When the list was first read without an instance that it had shown. */
  private readonly removedAtMs = new Map<string, number>();
  /** Start of the last successful read; undefined before the first. */
  private lastReadStartedAtMs: number | undefined;

  /** Applies a successful read that was started at `startedAtMs`. */
  update(instances: readonly ListedInstance[], startedAtMs: number): void {
    const next = new Map(instances.map(one => [one.instanceId, one]));
    for (const instanceId of this.listed.keys()) {
      if (next.has(instanceId)) continue;
      this.removedAtMs.set(instanceId, performance.now());
    }
    for (const instanceId of next.keys()) this.removedAtMs.delete(instanceId);
    for (const instanceId of this.removedAtMs.keys()) {
      if (this.removedAtMs.size <= MAX_REMOVED) break;
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

  isKnown(): boolean {
    return this.lastReadStartedAtMs !== undefined;
  }

  /**
   * Time for which reads showed the list without an instance that it had
   * shown before; 0 while it is listed or was never listed. Time before
   * `lastHeardAtMs` does not count.
   */
  absentForMs(instanceId: string, lastHeardAtMs: number): number {
    const removedAtMs = this.removedAtMs.get(instanceId);
    if (removedAtMs === undefined) return 0;
    const sinceMs = Math.max(removedAtMs, lastHeardAtMs);
    return Math.max(0, this.lastReadStartedAtMs! - sinceMs);
  }
}
