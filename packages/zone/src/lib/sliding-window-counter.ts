/** Counts recent events in time slices of equal length. */

export class SlidingWindowCounter {
  private readonly eventsBySlice = new Map<number, number>();

  private constructor(
    private readonly sliceMs: number,
    private readonly sliceCount: number,
  ) {}

  /**
   * `sum` covers the current slice and the `sliceCount` - 1 slices before it.
   */
  static create(sliceMs: number, sliceCount: number): SlidingWindowCounter {
    return new SlidingWindowCounter(sliceMs, sliceCount);
  }

  add(events = 1): void {
    const slice = this.currentSlice();
    this.eventsBySlice.set(
      slice,
      (this.eventsBySlice.get(slice) ?? 0) + events,
    );
  }

  sum(): number {
    const oldest = this.currentSlice() - this.sliceCount + 1;
    let total = 0;
    for (const [slice, events] of this.eventsBySlice) {
      if (slice < oldest) this.eventsBySlice.delete(slice);
      else total += events;
    }
    return total;
  }

  private currentSlice(): number {
    return Math.floor(performance.now() / this.sliceMs);
  }
}
