/**
 * The share of each team's rate that the leader of one availability zone may
 * grant.
 *
 * A leader has one token bucket per team. Its fraction of the zone's share varies
 * with the instances that follow it. A new leader starts with nearly empty
 * buckets, because the grants of its predecessor are not known and the burst must
 * not be granted twice. The buckets are refilled for the time that the zone had
 * no leader, so that teams within their rates are served immediately after all
 * instances restarted.
 */
import type {TeamPolicy} from '@fireflytrack/policy';

export interface RateBounds {
  /** Fraction by which a team may exceed its rate and burst. */
  overrun: number;
  /** Additional requests by which it may exceed them in one window. */
  slack: number;
}

interface Bucket {
  tokens: number;
  /** Tokens from other zones, which do not count towards the capacity. */
  borrowed: number;
  /** Values of the fields of `ZoneBuckets` at the last refill. */
  shareMs: number;
  startedFraction: number;
}

const MS_PER_SECOND = 1000;
// Fractions of the burst headroom: the capacity of a bucket, and its initial
// level under a new leader. The remainder covers former leaders that still
// grant requests while they are being replaced.
const FULL_BUCKET_FRACTION = 0.75;
const INITIAL_BUCKET_FRACTION = 0.12;

export class ZoneBuckets {
  private readonly buckets = new Map<string, Bucket>();
  private vacantSinceMs: number | undefined = performance.now();
  /** Fraction of the zone's share, when `update` last read it. */
  private fraction = 0;
  private updatedAtMs = performance.now();
  /** Integral of the fraction over the time as leader. */
  private shareMs = 0;
  /** Largest fraction since this instance became leader. */
  private startedFraction = 0;

  private constructor(
    private readonly bounds: RateBounds,
    private readonly zoneCount: () => number,
    private readonly currentFraction: () => number,
  ) {}

  /** `currentFraction` returns the fraction of the zone's share, 0 to 1. */
  static create(
    bounds: RateBounds,
    zoneCount: () => number,
    currentFraction: () => number,
  ): ZoneBuckets {
    return new ZoneBuckets(bounds, zoneCount, currentFraction);
  }

  /**
   * Empties the buckets. The zone has had no leader since `vacantSinceMs`, or the
   * former one may still act if that is undefined.
   */
  reset(vacantSinceMs: number | undefined): void {
    this.buckets.clear();
    this.vacantSinceMs = vacantSinceMs;
    this.fraction = 0;
    this.updatedAtMs = performance.now();
    this.shareMs = 0;
    this.startedFraction = 0;
  }

  /** Accounts for the time since the last call, and reads the fraction. */
  update(): void {
    const nowMs = performance.now();
    this.shareMs += (nowMs - this.updatedAtMs) * this.fraction;
    this.updatedAtMs = nowMs;
    this.fraction = this.currentFraction();
    const started = this.fraction - this.startedFraction;
    if (started <= 0) return;
    this.startedFraction = this.fraction;
    // Nobody has granted this part since the zone lost its leader.
    const vacantMs = nowMs - (this.vacantSinceMs ?? nowMs);
    this.shareMs += started * vacantMs;
  }

  tryTake(team: TeamPolicy): boolean {
    const bucket = this.refill(team);
    if (bucket.tokens >= 1) bucket.tokens -= 1;
    else if (bucket.borrowed >= 1) bucket.borrowed -= 1;
    else return false;
    return true;
  }

  /**
   * Takes up to `wanted` tokens for another zone, at most half of the bucket.
   */
  lend(team: TeamPolicy, wanted: number): number {
    const bucket = this.refill(team);
    const lent = Math.min(wanted, Math.floor(bucket.tokens / 2));
    bucket.tokens -= lent;
    return lent;
  }

  /** Returns a token that was taken and not used. */
  refund(team: TeamPolicy): void {
    const bucket = this.refill(team);
    bucket.tokens = Math.min(this.capacity(team), bucket.tokens + 1);
  }

  /** Adds tokens that another zone lent. */
  addBorrowed(team: TeamPolicy, tokens: number): void {
    const bucket = this.refill(team);
    const maximum = this.wholeCapacity(team);
    bucket.borrowed = Math.min(maximum, bucket.borrowed + tokens);
  }

  /** Time until the next token, in milliseconds. */
  waitMs(team: TeamPolicy): number {
    const missing = Math.max(0, 1 - this.refill(team).tokens);
    // Without a part of the share, followers are about to be counted.
    return missing / (this.ratePerMs(team) * (this.fraction || 1));
  }

  private refill(team: TeamPolicy): Bucket {
    this.update();
    const {shareMs, startedFraction} = this;
    let bucket = this.buckets.get(team.name);
    if (!bucket) {
      bucket = {tokens: 0, borrowed: 0, shareMs: 0, startedFraction: 0};
      this.buckets.set(team.name, bucket);
    }
    const started = startedFraction - bucket.startedFraction;
    const gained = (shareMs - bucket.shareMs) * this.ratePerMs(team);
    const tokens = bucket.tokens + gained + started * this.initialTokens(team);
    bucket.tokens = Math.min(this.capacity(team), tokens);
    bucket.shareMs = shareMs;
    bucket.startedFraction = startedFraction;
    return bucket;
  }

  /**
   * The zone's share of the rate, including the tolerated overrun. Tokens are
   * distributed over several leaders, and a team within its rate must not be
   * refused because of that.
   */
  private ratePerMs(team: TeamPolicy): number {
    const perSecond = team.ratePerSecond * (1 + this.bounds.overrun);
    return perSecond / MS_PER_SECOND / this.zoneCount();
  }

  private capacity(team: TeamPolicy): number {
    const {fraction} = this;
    if (fraction === 0) return 0;
    return Math.max(1, this.wholeCapacity(team) * fraction);
  }

  /** Capacity of a bucket that has the whole share of the zone. */
  private wholeCapacity(team: TeamPolicy): number {
    return (this.burstHeadroom(team) * FULL_BUCKET_FRACTION) / this.zoneCount();
  }

  private initialTokens(team: TeamPolicy): number {
    return (
      (this.burstHeadroom(team) * INITIAL_BUCKET_FRACTION) / this.zoneCount()
    );
  }

  /** Requests beyond the rate that the fleet may admit in one window. */
  private burstHeadroom(team: TeamPolicy): number {
    const {overrun, slack} = this.bounds;
    return team.burstTokens * (1 + overrun) + slack;
  }
}
