/** Fake timers and clock for many instances in one process; tests advance them. */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';

const STEP_MS = 5;

export class FakeTime {
  private constructor(private readonly clock: Clock) {}

  /** Replaces the runtime's timers and monotonic clock until `uninstall`. */
  static install(): FakeTime {
    const clock = FakeTimers.install({
      toFake: [
        'setTimeout',
        'clearTimeout',
        'setInterval',
        'clearInterval',
        'performance',
      ],
    });
    // A monotonic time of 0 would be taken for one that was never set.
    clock.tick(10_000);
    return new FakeTime(clock);
  }

  uninstall(): void {
    this.clock.uninstall();
  }

  /**
   * Advances the time by `durationMs` in steps of `stepMs` and lets promises
   * settle after each step. The asynchronous tick of fake-timers would take one
   * turn of the event loop per timer, and so per message.
   */
  async advance(durationMs: number, stepMs = STEP_MS): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
      this.clock.tick(Math.min(stepMs, durationMs - passedMs));
      await new Promise<void>(resolve => setImmediate(resolve));
    }
  }

  /** Advances the time until `promise` settles; returns its outcome. */
  async advanceUntilSettled<T>(promise: Promise<T>): Promise<T> {
    let settled = false;
    const done = () => (settled = true);
    promise.then(done, done);
    while (!settled) await this.advance(STEP_MS);
    return promise;
  }
}
