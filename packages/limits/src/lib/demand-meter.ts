/** Recent requests per second of one team at this instance. */

// Weight of the newest tick. With ticks of 20 ms a step in demand is followed
// within about 200 ms, and single requests do not cause borrowing ahead.
const SMOOTHING_FACTOR = 0.1;
// Below this rate a team counts as idle and costs no tick.
const IDLE_PER_SECOND = 0.01;

export class DemandMeter {
  private arrivals = 0;
  private averagePerSecond = 0;

  static create(): DemandMeter {
    return new DemandMeter();
  }

  recordArrival(): void {
    this.arrivals += 1;
  }

  /** Closes a tick that took `elapsedMs`. */
  tick(elapsedMs: number): void {
    const perSecond = (this.arrivals * 1000) / Math.max(1, elapsedMs);
    this.arrivals = 0;
    this.averagePerSecond +=
      (perSecond - this.averagePerSecond) * SMOOTHING_FACTOR;
  }

  perSecond(): number {
    return this.averagePerSecond;
  }

  isIdle(): boolean {
    return this.arrivals === 0 && this.averagePerSecond < IDLE_PER_SECOND;
  }
}
