/** Counts events of the last seconds in slices of time. */

export class RecentCount {
  private readonly counts = new Map<number, number>();

  private constructor(
    private readonly sliceMs: number,
    private readonly slices: number,
  ) {}

  /** Reads cover the current slice and the `slices` - 1 before it. */
  static create(sliceMs: number, slices: number): RecentCount {
    return new RecentCount(sliceMs, slices);
  }

  add(events = 1): void {
    const slice = this.currentSlice();
    this.counts.set(slice, (this.counts.get(slice) ?? 0) + events);
  }

  read(): number {
    const oldest = this.currentSlice() - this.slices + 1;
    let total = 0;
    for (const [slice, events] of this.counts) {
      if (slice < oldest) this.counts.delete(slice);
      else total += events;
    }
    return total;
  }

  private currentSlice(): number {
    return Math.floor(performance.now() / this.sliceMs);
  }
}
