/**
 * Estimates which share of the fleet's requests to a service fails, from what one
 * instance knows: its own requests, and the failures that others report. Others
 * report faults of servers only, so that the share of the instance's own requests
 * that were not served counts as well.
 */
const REQUESTS_WINDOW_MS = 10_000;
const FAILURES_WINDOW_MS = 2000;
// Up to this share, the few requests of one instance say little.
const MAX_OWN_SHARE = 0.1;
const MAX_TIMES = 1024;

export class FailureShare {
  private readonly requests = RecentTimes.create(REQUESTS_WINDOW_MS);
  private readonly unserved = RecentTimes.create(REQUESTS_WINDOW_MS);
  private readonly failures = RecentTimes.create(FAILURES_WINDOW_MS);

  private constructor(private readonly instances: () => number | undefined) {}

  /** `instances` returns the number of instances, if the fleet was counted. */
  static create(instances: () => number | undefined): FailureShare {
    return new FailureShare(instances);
  }

  /** Records the end of a request, or of an attempt, of this instance. */
  recordEnd(isServed: boolean): void {
    const nowMs = performance.now();
    this.requests.add(nowMs);
    if (!isServed) this.unserved.add(nowMs);
  }

  /** Records a failure of a server that this or another instance observed. */
  recordServerFailure(): void {
    this.failures.add(performance.now());
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

/** Counts events within a time before now. */
class RecentTimes {
  private times: number[] = [];

  private constructor(private readonly windowMs: number) {}

  static create(windowMs: number): RecentTimes {
    return new RecentTimes(windowMs);
  }

  add(nowMs: number): void {
    this.times.push(nowMs);
    // Bounds the memory of a service whose rate nobody reads.
    if (this.times.length >= MAX_TIMES) this.prune(nowMs);
  }

  perSecond(nowMs: number): number {
    this.prune(nowMs);
    return (this.times.length * 1000) / this.windowMs;
  }

  private prune(nowMs: number): void {
    const fromMs = nowMs - this.windowMs;
    this.times = this.times.filter(timeMs => timeMs > fromMs).slice(-MAX_TIMES);
  }
}
