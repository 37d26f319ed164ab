/**
 * Fake timers for a simulated fleet. Each timer belongs to the simulated
 * process that set it: timers of a frozen process are deferred until it
 * resumes, and timers of a killed process never fire.
 */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {SimulatedProcess} from './simulated-process.js';

export class SimulatedClock {
  private constructor(
    private readonly clock: Clock,
    private readonly fakeSetTimeout: typeof setTimeout,
  ) {}

  /** Replaces the runtime's timers and `performance` until `uninstall`. */
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
    globalThis.setTimeout = bindToCurrentProcess(globalThis.setTimeout);
    globalThis.setInterval = bindToCurrentProcess(globalThis.setInterval);
    return new SimulatedClock(clock, fakeSetTimeout);
  }

  uninstall(): void {
    this.clock.uninstall();
  }

  /**
   * Advances the time by `durationMs`, firing every timer that becomes due and
   * letting promises settle after each.
   */
  async advance(durationMs: number): Promise<void> {
    let done = false;
    this.fakeSetTimeout(() => (done = true), durationMs);
    await settlePromises();
    while (!done) {
      this.clock.next();
      await settlePromises();
    }
  }
}

/** Waits until all pending promise continuations have run. */
function settlePromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

function bindToCurrentProcess<T extends typeof setTimeout | typeof setInterval>(
  schedule: T,
): T {
  const bound = (
    callback: (...values: unknown[]) => void,
    delayMs?: number,
    ...values: unknown[]
  ) => {
    const owner = SimulatedProcess.current();
    if (!owner) return schedule(callback, delayMs, ...values);
    let isPending = false;
    return schedule(() => {
      // An interval that fires several times during a freeze runs once after it.
      if (isPending) return;
      isPending = true;
      owner.runOrDefer(() => {
        isPending = false;
        callback(...values);
      });
    }, delayMs);
  };
  return Object.assign(bound, schedule) as T;
}
