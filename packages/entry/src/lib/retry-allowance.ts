/**
 * What the request path asks before it sends an idempotent request again.
 */
export interface RetryAllowance {
  /** Counts a request of the service; retries are a fraction of these. */
  recordRequest(serviceName: string): void;
  /** Takes one retry or hedge out of the service's budget. */
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
