/**
 * The part of each team's rate that one availability zone may use.
 *
 * Each leading instance holds one bucket per team. Buckets are nearly empty
 * when the lead begins: what a leader before it granted is not known, and the
 * burst must not be granted twice. They hold what the rate has yielded since the
 * leader before it was gone, so that teams within their rates are served at once
 * after all instances restarted.
 */
import type {TeamPolicy} from '@fireflytrack/policy';

export interface RateBounds {
  /** Share by which a team may pass its rate and burst. */
  overrun: number;
  /** Requests by which it may pass them beside that in one window. */
  slack: number;
}

interface Bucket {
  tokens: number;
  filledAtMs: number;
}

const MS_PER_SECOND = 1000;
// Part of the room beside the rate that a full bucket holds, and part of it that
// a new leader begins with. The rest covers leaders that act while they are
// being replaced.
const USED_SHARE = 0.75;
const FIRST_SHARE = 0.12;

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

  /** Begins anew; nobody has granted anything since `vacantSinceMs`. */
  clear(vacantSinceMs: number): void {
    this.buckets.clear();
    this.vacantSinceMs = vacantSinceMs;
  }

  tryTake(team: TeamPolicy): boolean {
    const bucket = this.fill(team);
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }

  /** Takes up to `wanted` tokens for another zone; keeps half of what is here. */
  lend(team: TeamPolicy, wanted: number): number {
    const bucket = this.fill(team);
    const lent = Math.min(wanted, Math.floor(bucket.tokens / 2));
    bucket.tokens -= lent;
    return lent;
  }

  add(team: TeamPolicy, tokens: number): void {
    const bucket = this.fill(team);
    bucket.tokens = Math.min(this.depth(team), bucket.tokens + tokens);
  }

  /** Time until the next token. */
  waitMs(team: TeamPolicy): number {
    const missing = Math.max(0, 1 - this.fill(team).tokens);
    return missing / this.ratePerMs(team);
  }

  private fill(team: TeamPolicy): Bucket {
    const nowMs = performance.now();
    let bucket = this.buckets.get(team.name);
    if (!bucket) {
      bucket = {tokens: this.firstTokens(team), filledAtMs: this.vacantSinceMs};
      this.buckets.set(team.name, bucket);
    }
    const gained = (nowMs - bucket.filledAtMs) * this.ratePerMs(team);
    bucket.tokens = Math.min(this.depth(team), bucket.tokens + gained);
    bucket.filledAtMs = nowMs;
    return bucket;
  }

  /**
   * The zone's part of the rate with its tolerated overrun: tokens lie with
   * several leaders, and a team within its rate must not be refused for that.
   */
  private ratePerMs(team: TeamPolicy): number {
    const perSecond = team.ratePerSecond * (1 + this.bounds.overrun);
    return perSecond / MS_PER_SECOND / this.zoneCount();
  }

  private depth(team: TeamPolicy): number {
    return Math.max(1, (this.room(team) * USED_SHARE) / this.zoneCount());
  }

  private firstTokens(team: TeamPolicy): number {
    return (this.room(team) * FIRST_SHARE) / this.zoneCount();
  }

  /** Requests beside the rate that the fleet may admit in one window. */
  private room(team: TeamPolicy): number {
    const {overrun, slack} = this.bounds;
    return team.burstTokens * (1 + overrun) + slack;
  }
}
