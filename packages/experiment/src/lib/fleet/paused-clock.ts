/**
 * Fake timers that are advanced by hand, with a seeded `Math.random`.
 *
 * All pending promises run after every millisecond, so that responses of peers
 * and limiters are processed at the simulated time of their arrival.
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
    this.clock = FakeTimers.install({
      now: START_EPOCH_MS,
      toFake: [...FAKED_GLOBALS],
    });
    Math.random = seededRandom(seed);
  }

  /** Replaces the timers and `Math.random` of this process until `uninstall`. */
  static install(seed: number): PausedClock {
    return new PausedClock(seed);
  }

  /** Advances the time in steps of one millisecond. */
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
