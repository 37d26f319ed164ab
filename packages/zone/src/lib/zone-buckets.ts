/**
 * The share of each team's rate that one availability zone may use.
 *
 * Each leader has one token bucket per team. A new leader starts with nearly
 * empty buckets, because the grants of its predecessor are not known and the
 * burst must not be granted twice. The buckets are refilled for the time that
 * the zone had no leader, so that teams within their rates are served
 * immediately after all instances restarted.
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
  filledAtMs: number;
}

const MS_PER_SECOND = 1000;
// Fractions of the burst headroom: the capacity of a bucket, and its initial
// level under a new leader. The remainder covers former leaders that still
// grant requests while they are being replaced.
const FULL_BUCKET_FRACTION = 0.75;
const INITIAL_BUCKET_FRACTION = 0.12;

export class ZoneBuckets {
  private readonly buckets = new Map<string, Bucket>();
  private vacantSinceMs = performance.now();

  private constructor(
    private readonly bounds: RateBounds,
    private readonly zoneCount: () => number,
  ) {}

  static create(bounds: RateBounds, zoneCount: () => number): ZoneBuckets {
    return new ZoneBuckets(bounds, zoneCount);
  }

  /** Empties the buckets; the zone has had no leader since `vacantSinceMs`. */
  reset(vacantSinceMs: number): void {
    this.buckets.clear();
    this.vacantSinceMs = vacantSinceMs;
  }

  tryTake(team: TeamPolicy): boolean {
    const bucket = this.refill(team);
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
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

  addTokens(team: TeamPolicy, tokens: number): void {
    const bucket = this.refill(team);
    bucket.tokens = Math.min(this.capacity(team), bucket.tokens + tokens);
  }

  /** Time until the next token, in milliseconds. */
  waitMs(team: TeamPolicy): number {
    const missing = Math.max(0, 1 - this.refill(team).tokens);
    return missing / this.ratePerMs(team);
  }

  private refill(team: TeamPolicy): Bucket {
    const nowMs = performance.now();
    let bucket = this.buckets.get(team.name);
    if (!bucket) {
      bucket = {
        tokens: this.initialTokens(team),
        filledAtMs: this.vacantSinceMs,
      };
      this.buckets.set(team.name, bucket);
    }
    const gained = (nowMs - bucket.filledAtMs) * this.ratePerMs(team);
    bucket.tokens = Math.min(this.capacity(team), bucket.tokens + gained);
    bucket.filledAtMs = nowMs;
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
    return Math.max(
      1,
      (this.burstHeadroom(team) * FULL_BUCKET_FRACTION) / this.zoneCount(),
    );
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
