/**
 * Estimates which share of the fleet's requests to a service fails, from what one
 * instance knows: its own requests, and the failures that others report. Others
 * report faults of servers only, so that the share of the instance's own requests
 * that were not served counts as well.
 */

const REQUESTS_WINDOW_MS = 10_000;
const FAILURES_WINDOW_MS = 2000;
const BUCKETS = 20;
const MS_PER_SECOND = 1000;
// Up to this share, the few requests of one instance say little.
const MAX_OWN_SHARE = 0.1;

export class FailureShare {
  private readonly requests = RecentCount.create(REQUESTS_WINDOW_MS);
  private readonly unserved = RecentCount.create(REQUESTS_WINDOW_MS);
  private readonly failures = RecentCount.create(FAILURES_WINDOW_MS);

  private constructor(private readonly instances: () => number | undefined) {}

  /** `instances` returns the number of instances, if the fleet was counted. */
  static create(instances: () => number | undefined): FailureShare {
    return new FailureShare(instances);
  }

  /** Records the end of a request, or of an attempt, of this instance. */
  recordEnd(isServed: boolean): void {
    const nowMs = performance.now();
    this.requests.increment(nowMs);
    if (!isServed) this.unserved.increment(nowMs);
  }

  /** Records a failure of a server that this or another instance observed. */
  recordServerFailure(): void {
    this.failures.increment(performance.now());
  }

  /** Returns the share; 1 while it is not known. */
  read(): number {
    const nowMs = performance.now();
    const instances = this.instances();
    if (instances === undefined) return 1;
    const requests = this.requests.perSecond(nowMs);
    const ownShare = divide(this.unserved.perSecond(nowMs), requests);
    const failures = this.failures.perSecond(nowMs);
    const fleetShare = Math.min(1, divide(failures, requests * instances));
    return ownShare > MAX_OWN_SHARE
      ? Math.max(ownShare, fleetShare)
      : fleetShare;
  }
}

function divide(part: number, whole: number): number {
  if (part === 0) return 0;
  return whole === 0 ? Infinity : part / whole;
}

/** Counts events of a time before now, to one of its twentieths. */
class RecentCount {
  private readonly counts = new Array<number>(BUCKETS).fill(0);
  /** Number of the newest bucket since time zero. */
  private newest = 0;

  private constructor(private readonly windowMs: number) {}

  static create(windowMs: number): RecentCount {
    return new RecentCount(windowMs);
  }

  increment(nowMs: number): void {
    this.advance(nowMs);
    this.counts[this.newest % BUCKETS]! += 1;
  }

  perSecond(nowMs: number): number {
    this.advance(nowMs);
    const count = this.counts.reduce((sum, bucket) => sum + bucket, 0);
    return (count * MS_PER_SECOND) / this.windowMs;
  }

  private advance(nowMs: number): void {
    const newest = Math.floor((nowMs * BUCKETS) / this.windowMs);
    const first = Math.max(this.newest + 1, newest - BUCKETS + 1);
    for (let bucket = first; bucket <= newest; bucket += 1) {
      this.counts[bucket % BUCKETS] = 0;
    }
    this.newest = newest;
  }
}
