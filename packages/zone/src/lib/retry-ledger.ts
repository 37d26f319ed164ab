/**
 * Tracks the retries that one availability zone may send to one service: those
 * that its leader granted within the last window, compared with the requests
 * that the instances of the zone received.
 */
import type {RetryCause} from '@fireflytrack/upstream';
import {SlidingWindowCounter} from './sliding-window-counter.js';

export interface RetryBounds {
  /** Retries allowed per request. */
  ratio: number;
  /** Additional retries allowed for the entire fleet in one window. */
  fleetAllowance: number;
  windowMs: number;
  /** Zones among which the allowance is divided. */
  zones: number;
}

const SLICES_PER_WINDOW = 10;
// Fractions of the bounds that are granted. The remainder covers requests that
// are retried in a later window than they arrived in, and a former leader that
// still grants retries after it was replaced.
const USED_RATIO_FRACTION = 0.95;
const USED_ALLOWANCE_FRACTION = 0.85;
// Fraction of the zone's allowance that the previous leader is assumed to have
// granted at the moment it was replaced.
const PREDECESSOR_GRANT_FRACTION = 0.85;
// Retries of slow requests may use this fraction of the limit; the rest is
// reserved for failed requests.
const SLOWNESS_LIMIT_FRACTION = 0.5;

interface RequestReport {
  requests: number;
  atMs: number;
}

export class RetryLedger {
  private readonly granted: SlidingWindowCounter;
  private readonly reports = new Map<string, RequestReport>();

  private constructor(
    private readonly bounds: RetryBounds,
    private readonly leaderSinceMs: number,
  ) {
    const sliceMs = bounds.windowMs / SLICES_PER_WINDOW;
    // One slice more than the window, so that no sliding window exceeds the
    // limit.
    this.granted = SlidingWindowCounter.create(sliceMs, SLICES_PER_WINDOW + 1);
  }

  /**
   * Creates the ledger of an instance that became leader at `leaderSinceMs`.
   */
  static create(bounds: RetryBounds, leaderSinceMs: number): RetryLedger {
    return new RetryLedger(bounds, leaderSinceMs);
  }

  /** Records that an instance received `requests` within the last window. */
  report(instanceId: string, requests: number): void {
    this.reports.set(instanceId, {requests, atMs: performance.now()});
  }

  tryGrant(cause: RetryCause): boolean {
    const totalLimit = this.allowance + this.earnedRetries();
    const causeLimit =
      cause === 'slowness' ? totalLimit * SLOWNESS_LIMIT_FRACTION : totalLimit;
    if (this.granted.sum() + this.assumedPredecessorGrants() + 1 > causeLimit)
      return false;
    this.granted.add();
    return true;
  }

  private get allowance(): number {
    const {fleetAllowance, zones} = this.bounds;
    return (fleetAllowance * USED_ALLOWANCE_FRACTION) / zones;
  }

  /**
   * Retries that the previous leader may have granted within the last window.
   */
  private assumedPredecessorGrants(): number {
    const windowFraction = this.leadershipFraction();
    return windowFraction < 1 ? this.allowance * PREDECESSOR_GRANT_FRACTION : 0;
  }

  /** Fraction of the last window during which this instance was the leader. */
  private leadershipFraction(): number {
    const leaderForMs = performance.now() - this.leaderSinceMs;
    return Math.min(1, leaderForMs / this.bounds.windowMs);
  }

  /**
   * Retries that the requests of the last window allow. Requests from before
   * this instance became leader were counted by its predecessor.
   */
  private earnedRetries(): number {
    const {ratio, windowMs} = this.bounds;
    const nowMs = performance.now();
    let requests = 0;
    for (const [instanceId, report] of this.reports) {
      const ageMs = nowMs - report.atMs;
      if (ageMs >= windowMs) this.reports.delete(instanceId);
      else requests += report.requests * (1 - ageMs / windowMs);
    }
    return requests * ratio * USED_RATIO_FRACTION * this.leadershipFraction();
  }
}

/**
 * Creates a counter of one instance's requests that covers at most one window.
 */
export function createRequestCounter(
  bounds: RetryBounds,
): SlidingWindowCounter {
  return SlidingWindowCounter.create(
    bounds.windowMs / SLICES_PER_WINDOW,
    SLICES_PER_WINDOW,
  );
}
