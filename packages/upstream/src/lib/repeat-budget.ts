/**
 * Bounds the attempts beyond the first of each request, fleet-wide and without
 * messages: each instance may repeat a share of its own requests, and its part
 * of the fixed allowance.
 */

export interface RepeatBudgetOptions {
  /** Repeats allowed for each request. */
  ratio: number;
  /** Repeats allowed beside that, for the whole fleet in one window. */
  fleetAllowance: number;
  windowMs: number;
  /** Instances that may run now. */
  instances(): number;
}

// Kept back of the allowance: requests may end in a later window than they
// began, and instances that restart begin anew.
const USED_SHARE = 0.75;

export class RepeatBudget {
  private tokens: number;
  private refilledAtMs = performance.now();

  private constructor(private readonly options: RepeatBudgetOptions) {
    this.tokens = 1;
  }

  static create(options: RepeatBudgetOptions): RepeatBudget {
    return new RepeatBudget(options);
  }

  requestArrived(): void {
    this.refill();
    this.add(USED_SHARE * this.options.ratio);
  }

  /** Takes one repeat if as many as `reserve` remain for others. */
  tryTake(reserve = 0): boolean {
    this.refill();
    if (this.tokens < 1 + reserve) return false;
    this.tokens -= 1;
    return true;
  }

  private refill(): void {
    const nowMs = performance.now();
    const perMs = this.allowance / this.options.windowMs;
    this.add((nowMs - this.refilledAtMs) * perMs);
    this.refilledAtMs = nowMs;
  }

  /** Repeats of this instance in one window beside those of its requests. */
  private get allowance(): number {
    const {fleetAllowance, instances} = this.options;
    return (USED_SHARE * fleetAllowance) / instances();
  }

  private add(tokens: number): void {
    this.tokens = Math.min(1 + this.allowance, this.tokens + tokens);
  }
}
