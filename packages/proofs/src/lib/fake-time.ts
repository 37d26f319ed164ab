/** Runs many instances in one process on a clock that the test advances. */
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
    // Monotonic times of 0 would look like times that were never set.
    clock.tick(10_000);
    return new FakeTime(clock);
  }

  uninstall(): void {
    this.clock.uninstall();
  }

  /**
   * Advances by whole steps and lets promises settle after each. A step for
   * each timer, as the clock's own asynchronous advance takes, would cost a
   * turn of the event loop per message.
   */
  async advance(durationMs: number, stepMs = STEP_MS): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
      this.clock.tick(Math.min(stepMs, durationMs - passedMs));
      await new Promise<void>(resolve => setImmediate(resolve));
    }
  }

  /** Advances until the promise settles. */
  async until<T>(promise: Promise<T>): Promise<T> {
    let settled = false;
    const done = () => (settled = true);
    promise.then(done, done);
    while (!settled) await this.advance(STEP_MS);
    return promise;
  }
}
