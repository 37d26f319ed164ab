/**
 * Fake timers for a simulated fleet. A timer belongs to the process that set
 * it: while that process is frozen its timers wait, and after its end they
 * never fire.
 */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {SimulatedProcess} from './simulated-process.js';

export class SimulatedClock {
  private constructor(
    private readonly clock: Clock,
    private readonly fakeSetTimeout: typeof setTimeout,
  ) {}

  /** Replaces the runtime's timers until `uninstall`. */
  static install(): SimulatedClock {
    const clock = FakeTimers.install({
      toFake: [
        'setTimeout',
        'clearTimeout',
        'setInterval',
        'clearInterval',
        'performance',
      ],
    });
    const fakeSetTimeout = globalThis.setTimeout;
    globalThis.setTimeout = ownedBy(globalThis.setTimeout);
    globalThis.setInterval = ownedBy(globalThis.setInterval);
    return new SimulatedClock(clock, fakeSetTimeout);
  }

  uninstall(): void {
    this.clock.uninstall();
  }

  /** Runs all timers of the next `durationMs`, and what they cause. */
  async advance(durationMs: number): Promise<void> {
    let done = false;
    this.fakeSetTimeout(() => (done = true), durationMs);
    await settled();
    while (!done) {
      this.clock.next();
      await settled();
    }
  }
}

/** Lets every pending promise continuation run. */
function settled(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

function ownedBy<T extends typeof setTimeout | typeof setInterval>(
  schedule: T,
): T {
  const owned = (
    callback: (...values: unknown[]) => void,
    delayMs?: number,
    ...values: unknown[]
  ) => {
    const owner = SimulatedProcess.current();
    if (!owner) return schedule(callback, delayMs, ...values);
    let waiting = false;
    return schedule(() => {
      // An interval that fires several times in a freeze runs once after it.
      if (waiting) return;
      waiting = true;
      owner.perform(() => {
        waiting = false;
        callback(...values);
      });
    }, delayMs);
  };
  return Object.assign(owned, schedule) as T;
}
