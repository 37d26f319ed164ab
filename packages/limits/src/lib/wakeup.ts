/** A sleep that can be ended early by another part of the process. */

export class Wakeup {
  private pending = false;
  private wakeSleeper: (() => void) | undefined;

  static create(): Wakeup {
    return new Wakeup();
  }

  /** Ends the current sleep, or makes the next one return immediately. */
  wake(): void {
    this.pending = true;
    this.wakeSleeper?.();
  }

  async sleep(durationMs: number): Promise<void> {
    if (!this.pending) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, durationMs);
        this.wakeSleeper = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    this.wakeSleeper = undefined;
    this.pending = false;
  }
}
