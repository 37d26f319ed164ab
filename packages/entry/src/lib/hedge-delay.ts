/**
 * When to hedge: after the time in which 95 of 100 recent answers of the
 * service came, estimated by a step that balances at that quantile.
 */

const QUANTILE = 0.95;
const RELATIVE_STEP = 0.05;
// Below this a hedge would race ordinary jitter of the network.
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
    const moved =
      latencyMs > delayMs
        ? delayMs + step * QUANTILE
        : delayMs - step * (1 - QUANTILE);
    this.delaysMs.set(serviceName, Math.max(MIN_DELAY_MS, moved));
  }
}
