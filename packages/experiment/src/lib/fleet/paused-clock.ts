/**
 * Runs a scenario on a paused clock with seeded `Math.random`.
 *
 * After every millisecond all pending promises run, so that the answers of
 * peers and limiters are seen at the time at which they arrive.
 */
import FakeTimers from '@sinonjs/fake-timers';
import {seededRandom} from '../random.js';

const FAKED_GLOBALS = [
  'setTimeout',
  'clearTimeout',
  'setInterval',
  'clearInterval',
  'Date',
  'performance',
] as const;

const START_EPOCH_MS = Date.UTC(2026, 11, 4);

export class PausedClock {
  private readonly realRandom = Math.random;
  private readonly realSetImmediate = setImmediate;
  private readonly clock: FakeTimers.Clock;

  private constructor(seed: number) {
    this.clock = FakeTimers.install({now: START_EPOCH_MS, toFake: [...FAKED_GLOBALS]});
    Math.random = seededRandom(seed);
  }

  /** Replaces timers and `Math.random` of this process until `uninstall`. */
  static install(seed: number): PausedClock {
    return new PausedClock(seed);
  }

  async advance(
    durationMs: number,
    onMillisecond?: (elapsedMs: number) => void,
  ): Promise<void> {
    for (let elapsedMs = 1; elapsedMs <= durationMs; elapsedMs += 1) {
      this.clock.tick(1);
      onMillisecond?.(elapsedMs);
      await new Promise<void>(resolve => this.realSetImmediate(resolve));
    }
  }

  uninstall(): void {
    this.clock.uninstall();
    Math.random = this.realRandom;
  }
}
