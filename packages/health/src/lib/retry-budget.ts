/**
 * Limits the retries and hedged requests of a service to a share of its recent
 * requests, so that a failing service does not get a multiple of its load.
 */

const RETRY_SHARE = 0.1;
const WINDOW_MS = 10_000;
// Allows a service with little traffic to retry a request.
const MIN_RETRIES = 1;

interface Usage {
  windowStartMs: number;
  requests: number;
  retries: number;
  previousRequests: number;
  previousRetries: number;
}

export class RetryBudget {
  private readonly usage = new Map<string, Usage>();

  static create(): RetryBudget {
    return new RetryBudget();
  }

  recordRequest(serviceName: string): void {
    this.getCurrentUsage(serviceName).requests += 1;
  }

  /** Takes one retry or hedged request; returns false if none is left. */
  tryTake(serviceName: string): boolean {
    const usage = this.getCurrentUsage(serviceName);
    const requests = usage.requests + usage.previousRequests;
    const retries = usage.retries + usage.previousRetries;
    if (retries >= Math.max(MIN_RETRIES, requests * RETRY_SHARE)) return false;
    usage.retries += 1;
    return true;
  }

  /**
   * Usage of the service, after the windows were advanced to the current time.
   */
  private getCurrentUsage(serviceName: string): Usage {
    const nowMs = performance.now();
    const usage = this.usage.get(serviceName) ?? emptyUsage(nowMs);
    this.usage.set(serviceName, usage);
    const ageMs = nowMs - usage.windowStartMs;
    if (ageMs < WINDOW_MS) return usage;
    const isNextWindow = ageMs < 2 * WINDOW_MS;
    usage.previousRequests = isNextWindow ? usage.requests : 0;
    usage.previousRetries = isNextWindow ? usage.retries : 0;
    usage.requests = 0;
    usage.retries = 0;
    usage.windowStartMs = nowMs;
    return usage;
  }
}

function emptyUsage(windowStartMs: number): Usage {
  return {
    windowStartMs,
    requests: 0,
    retries: 0,
    previousRequests: 0,
    previousRetries: 0,
  };
}
