/**
 * Upper estimate of the instances that run, among which connections and limits
 * are divided.
 */

// Margin for instances that are starting or restarting, which are counted only
// some seconds later.
const COUNT_MARGIN = 1.15;

export class InstanceEstimate {
  private lastCount = 0;

  private constructor(
    private readonly assumed: number,
    private readonly count: () => number | undefined,
  ) {}

  /**
   * `count` returns the counted instances, if the count is known now. `assumed`
   * is used until the first count.
   */
  static create(
    assumed: number,
    count: () => number | undefined,
  ): InstanceEstimate {
    return new InstanceEstimate(assumed, count);
  }

  read(): number {
    const count = this.count();
    if (count !== undefined) this.lastCount = count;
    const counted = Math.ceil(this.lastCount * COUNT_MARGIN) + 1;
    // Without a leader the fleet may have grown since.
    return count === undefined ? Math.max(this.assumed, counted) : counted;
  }
}
