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
  /** Most instances that may run at the same time. */
  maxInstances: number;
}

// Kept back of the allowance: requests may end in a later window than they
// began, and instances that restart begin anew.
const USED_SHARE = 0.75;

export class RepeatBudget {
  private tokens: number;
  private readonly capacity: number;
  private refilledAtMs = performance.now();

  private constructor(private readonly options: RepeatBudgetOptions) {
    const {fleetAllowance, maxInstances} = options;
    this.capacity = 1 + (USED_SHARE * fleetAllowance) / maxInstances;
    this.tokens = Math.min(1, this.capacity);
  }

  static create(options: RepeatBudgetOptions): RepeatBudget {
    return new RepeatBudget(options);
  }

  requestArrived(): void {
    this.refill();
    this.add(USED_SHARE * this.options.ratio);
  }

  tryTake(): boolean {
    this.refill();
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  private refill(): void {
    const {fleetAllowance, maxInstances, windowMs} = this.options;
    const nowMs = performance.now();
    const perMs = (USED_SHARE * fleetAllowance) / maxInstances / windowMs;
    this.add((nowMs - this.refilledAtMs) * perMs);
    this.refilledAtMs = nowMs;
  }

  private add(tokens: number): void {
    this.tokens = Math.min(this.capacity, this.tokens + tokens);
  }
}
