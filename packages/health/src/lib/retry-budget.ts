/**
 * Retries and hedges of a service, limited to a share of its recent requests,
 * so that a failing service does not get several times its load.
 */

const RETRY_SHARE = 0.1;
const WINDOW_MS = 10_000;
// A service with little traffic can still retry a request.
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
    this.usageOf(serviceName).requests += 1;
  }

  /** Takes one retry or hedge if the budget has one left. */
  tryTake(serviceName: string): boolean {
    const usage = this.usageOf(serviceName);
    const requests = usage.requests + usage.previousRequests;
    const retries = usage.retries + usage.previousRetries;
    if (retries >= Math.max(MIN_RETRIES, requests * RETRY_SHARE)) return false;
    usage.retries += 1;
    return true;
  }

  private usageOf(serviceName: string): Usage {
    const nowMs = performance.now();
    const usage = this.usage.get(serviceName) ?? emptyUsage(nowMs);
    this.usage.set(serviceName, usage);
    const ageMs = nowMs - usage.windowStartMs;
    if (ageMs < WINDOW_MS) return usage;
    const isNext = ageMs < 2 * WINDOW_MS;
    usage.previousRequests = isNext ? usage.requests : 0;
    usage.previousRetries = isNext ? usage.retries : 0;
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
