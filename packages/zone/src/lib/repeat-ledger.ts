/**
 * The repeats that one availability zone may send to one service: what its
 * leader granted within the last window, against what the instances of the zone
 * received.
 */
import type {RetryCause} from '@fireflytrack/upstream';
import {RecentCount} from './recent-count.js';

export interface RepeatBounds {
  /** Repeats allowed for each request. */
  ratio: number;
  /** Repeats allowed beside that, for the whole fleet in one window. */
  fleetAllowance: number;
  windowMs: number;
  /** Zones among which the allowance is divided. */
  zones: number;
}

const SLICES = 10;
// Parts of the bounds that are used. The rest covers requests that are repeated
// in a later window than they arrived in, and a leader that still grants while
// another one has taken its place.
const RATIO_SHARE = 0.95;
const ALLOWANCE_SHARE = 0.85;
// Part of the zone's allowance that the leader before this one is taken to have
// granted at the moment this one began.
const ASSUMED_SHARE = 0.85;
// Repeats of requests that are merely slow leave the rest to those that failed.
const SLOWNESS_SHARE = 0.5;

interface Report {
  requests: number;
  atMs: number;
}

export class RepeatLedger {
  private readonly granted: RecentCount;
  private readonly reports = new Map<string, Report>();

  private constructor(
    private readonly bounds: RepeatBounds,
    private readonly leadsSinceMs: number,
  ) {
    const sliceMs = bounds.windowMs / SLICES;
    // One slice more than the window, so that no sliding window holds more.
    this.granted = RecentCount.create(sliceMs, SLICES + 1);
  }

  /** The ledger of a leader that began at `leadsSinceMs`. */
  static create(bounds: RepeatBounds, leadsSinceMs: number): RepeatLedger {
    return new RepeatLedger(bounds, leadsSinceMs);
  }

  /** An instance received `requests` within the last window. */
  report(instanceId: string, requests: number): void {
    this.reports.set(instanceId, {requests, atMs: performance.now()});
  }

  tryGrant(cause: RetryCause): boolean {
    const limit = this.allowance + this.share();
    const most = cause === 'slowness' ? limit * SLOWNESS_SHARE : limit;
    if (this.granted.read() + this.assumed() + 1 > most) return false;
    this.granted.add();
    return true;
  }

  private get allowance(): number {
    const {fleetAllowance, zones} = this.bounds;
    return (fleetAllowance * ALLOWANCE_SHARE) / zones;
  }

  /** What a leader before this one may have granted within the last window. */
  private assumed(): number {
    const begunShare = this.leadShare();
    return begunShare < 1 ? this.allowance * ASSUMED_SHARE : 0;
  }

  /** Part of the last window for which this leader has led. */
  private leadShare(): number {
    const leadMs = performance.now() - this.leadsSinceMs;
    return Math.min(1, leadMs / this.bounds.windowMs);
  }

  /**
   * Repeats that the requests of the last window allow. Those from before the
   * lead were another leader's to count.
   */
  private share(): number {
    const {ratio, windowMs} = this.bounds;
    const nowMs = performance.now();
    let requests = 0;
    for (const [instanceId, report] of this.reports) {
      const ageMs = nowMs - report.atMs;
      if (ageMs >= windowMs) this.reports.delete(instanceId);
      else requests += report.requests * (1 - ageMs / windowMs);
    }
    return requests * ratio * RATIO_SHARE * this.leadShare();
  }
}

/** Counts the requests of one instance; never more than those of a window. */
export function requestCounter(bounds: RepeatBounds): RecentCount {
  return RecentCount.create(bounds.windowMs / SLICES, SLICES);
}
