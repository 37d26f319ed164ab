/**
 * Retry budget that limits the retries and hedges of idempotent requests.
 */
export interface RetryAllowance {
  /** Counts a request of the service; retries are a fraction of these. */
  recordRequest(serviceName: string): void;
  /** Takes one retry or hedge from the service's budget; false if exhausted. */
  tryTake(serviceName: string): boolean;
}

/** Allows every retry: the naive variant, for comparisons. */
export class UnlimitedRetries implements RetryAllowance {
  static create(): UnlimitedRetries {
    return new UnlimitedRetries();
  }

  recordRequest(): void {}

  tryTake(): boolean {
    return true;
  }
}
