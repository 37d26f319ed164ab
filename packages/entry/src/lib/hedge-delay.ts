/**
 * Delay before a hedge: the 95th percentile of the recent latencies of the
 * service, estimated by stochastic approximation with a relative step.
 */

const QUANTILE = 0.95;
const RELATIVE_STEP = 0.05;
// A shorter delay would trigger hedges on ordinary network jitter.
const MIN_DELAY_MS = 10;
const INITIAL_DELAY_MS = 200;

export class HedgeDelay {
  private readonly delaysMs = new Map<string, number>();

  static create(): HedgeDelay {
    return new HedgeDelay();
  }

  delayMs(serviceName: string): number {
    return this.delaysMs.get(serviceName) ?? INITIAL_DELAY_MS;
  }

  record(serviceName: string, latencyMs: number): void {
    const delayMs = this.delayMs(serviceName);
    const step = delayMs * RELATIVE_STEP;
    const adjustedMs =
      latencyMs > delayMs
        ? delayMs + step * QUANTILE
        : delayMs - step * (1 - QUANTILE);
    this.delaysMs.set(serviceName, Math.max(MIN_DELAY_MS, adjustedMs));
  }
}
