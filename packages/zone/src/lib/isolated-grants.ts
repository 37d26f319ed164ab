/**
 * Grants of an instance that reaches no leader, for servers that named a limit:
 * whole requests of its part of a fraction of the limit. It gets none where the
 * limit is low for the size of the fleet.
 */
import type {GrantDecision, GrantRequest} from '@fireflytrack/upstream';
import {LIMIT_WINDOW_MS} from './limit-bucket.js';
import {SlidingWindowCounter} from './sliding-window-counter.js';

// The rest is granted by leaders, which other instances may reach.
const ISOLATED_FRACTION = 0.25;
const SLICES_PER_WINDOW = 10;
const MAX_SERVERS = 500;
const RETRY_AFTER_MS = 1000;
const MS_PER_SECOND = 1000;

export class IsolatedGrants {
  private readonly granted = new Map<string, SlidingWindowCounter>();

  private constructor(private readonly instances: () => number) {}

  /** `instances` returns an upper estimate of the running instances. */
  static create(instances: () => number): IsolatedGrants {
    return new IsolatedGrants(instances);
  }

  decide({candidates}: GrantRequest): GrantDecision {
    const instances = this.instances();
    for (const {serverId, startedAtMs, requestsPerSecond} of candidates) {
      const inWindow = (requestsPerSecond * LIMIT_WINDOW_MS) / MS_PER_SECOND;
      const part = Math.floor((inWindow * ISOLATED_FRACTION) / instances);
      if (part === 0) continue;
      const granted = this.counterOf(`${serverId}@${startedAtMs}`);
      if (granted.sum() >= part) continue;
      granted.add();
      return {kind: 'granted', serverId};
    }
    return {kind: 'unreachable', retryAfterMs: RETRY_AFTER_MS};
  }

  private counterOf(key: string): SlidingWindowCounter {
    let counter = this.granted.get(key);
    if (!counter) {
      const sliceMs = LIMIT_WINDOW_MS / SLICES_PER_WINDOW;
      counter = SlidingWindowCounter.create(sliceMs, SLICES_PER_WINDOW + 1);
      if (this.granted.size >= MAX_SERVERS) this.granted.clear();
      this.granted.set(key, counter);
    }
    return counter;
  }
}
