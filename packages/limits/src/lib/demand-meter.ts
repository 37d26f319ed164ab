/** Measures the recent request rate of one team at this instance. */

// Weight of the newest tick in the moving average. With ticks of 20 ms the
// average follows a step in demand within about 200 ms, and single requests do
// not cause borrowing in advance.
const SMOOTHING_FACTOR = 0.1;
// Teams below this rate count as idle and are skipped by the ticks.
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

  /** Adds the arrivals of the last `elapsedMs` to the average. */
  tick(elapsedMs: number): void {
    const perSecond = (this.arrivals * 1000) / Math.max(1, elapsedMs);
    this.arrivals = 0;
    this.averagePerSecond +=
      (perSecond - this.averagePerSecond) * SMOOTHING_FACTOR;
  }

  /** Average requests per second. */
  perSecond(): number {
    return this.averagePerSecond;
  }

  isIdle(): boolean {
    return this.arrivals === 0 && this.averagePerSecond < IDLE_PER_SECOND;
  }
}
