/**
 * One team at one instance: the owned bucket, the borrowed lots, the requests
 * that wait, and what may be lent.
 */
import {BorrowPace} from './borrow-pace.js';
import {BorrowedLots} from './borrowed-lots.js';
import type {BorrowedLot} from './borrowed-lots.js';
import {DemandMeter} from './demand-meter.js';
import {MICRO_PER_TOKEN} from './micro-tokens.js';
import type {TeamRate} from './micro-tokens.js';
import {OwnedBucket} from './owned-bucket.js';
import {PeerLevels} from './peer-levels.js';
import type {Admission} from './team-limiter.js';
import {WaitingRequests} from './waiting-requests.js';

// A request waits at most this long for borrowed tokens: three round trips
// between regions (16 ms each) and the answering time.
const MAX_WAIT_MS = 60;
// A lender keeps what its own callers will take until its next borrowing.
const LENDER_RESERVE_MS = 50;

// After partial grants, the levels known here are too high
// and time is short, so waiting requests request more than they need.
const MAX_OVERREQUEST_FACTOR = 4;

const ADMITTED: Admission = {admitted: true};

export class TeamAccount {
  readonly demand = DemandMeter.create();
  readonly pace = BorrowPace.create();
  readonly lots = BorrowedLots.create();
  readonly peerLevels: PeerLevels;
  /** Tokens requested from peers that have not responded yet. */
  requestedMicro = 0;
  /** Partial grants since a waiting request was last admitted. */
  partialGrants = 0;
  /** When peers were last queried although their estimates were too low. */
  probedAtMs = -Infinity;
  /** Whether tokens were lent since the last level frame. */
  lentSinceBroadcast = false;
  private readonly waiting: WaitingRequests;
  private readonly bucket: OwnedBucket;

  private constructor(
    readonly teamName: string,
    private currentRate: TeamRate,
    parts: number,
    partsOf: (peerId: string) => number,
    private readonly onLotsSpent: (account: TeamAccount) => void,
  ) {
    this.bucket = OwnedBucket.create(currentRate, parts);
    this.peerLevels = PeerLevels.create(partsOf);
    this.waiting = WaitingRequests.create(() => this.onWaitDeadline());
  }

  /** `onLotsSpent` is called when borrowed fractions were used up. */
  static create(
    teamName: string,
    rate: TeamRate,
    parts: number,
    partsOf: (peerId: string) => number,
    onLotsSpent: (account: TeamAccount) => void,
  ): TeamAccount {
    return new TeamAccount(teamName, rate, parts, partsOf, onLotsSpent);
  }

  get rate(): TeamRate {
    return this.currentRate;
  }

  get waitingCount(): number {
    return this.waiting.count;
  }

  setRate(rate: TeamRate): void {
    this.currentRate = rate;
    this.bucket.setRate(rate, performance.now());
  }

  setParts(parts: number): void {
    this.bucket.setParts(parts, performance.now());
  }

  /** Admits at once, unless tokens are short or others wait. */
  tryAdmit(): Admission | undefined {
    this.demand.recordArrival();
    if (this.waiting.count > 0) return undefined;
    return this.takeToken(performance.now()) ? ADMITTED : undefined;
  }

  /** Waits for tokens in order of arrival. */
  wait(): Promise<Admission> {
    return this.waiting.add(MAX_WAIT_MS);
  }

  refusal(): Admission {
    const aheadTokens = this.waiting.count + 1;
    const waitMs = (aheadTokens * 1000) / this.currentRate.ratePerSecond;
    return {admitted: false, retryAfterMs: Math.ceil(waitMs)};
  }

  /** Admits waiting requests while tokens are at hand. */
  serveWaiting(): void {
    const nowMs = performance.now();
    while (this.waiting.count > 0 && this.takeToken(nowMs)) {
      this.waiting.settleOldest(ADMITTED);
      this.partialGrants = 0;
    }
  }

  /** Factor by which waiting requests request more than they need. */
  overrequestFactor(): number {
    if (this.waiting.count > MAX_OVERREQUEST_FACTOR) return 1;
    return Math.min(MAX_OVERREQUEST_FACTOR, 1 + this.partialGrants / 4);
  }

  addBorrowed(lot: BorrowedLot): void {
    this.lots.add(lot, performance.now());
    this.serveWaiting();
  }

  availableMicro(nowMs: number): number {
    return this.bucket.levelMicro(nowMs) + this.lots.levelMicro(nowMs);
  }

  /** Whole millionths that a peer may borrow now. */
  lendableMicro(nowMs: number): number {
    const level = this.bucket.levelMicro(nowMs);
    // A share that never holds a whole token cannot admit a request by itself.
    if (this.bucket.capacityMicro() < MICRO_PER_TOKEN) return Math.floor(level);
    const perSecond = Math.min(
      this.demand.perSecond(),
      this.currentRate.ratePerSecond,
    );
    const reserve = (perSecond * LENDER_RESERVE_MS * MICRO_PER_TOKEN) / 1000;
    return Math.max(0, Math.floor(level - reserve));
  }

  /** Subtracts up to `wantedMicro` for a peer; returns what it may spend. */
  lend(lotId: string, wantedMicro: number, lifetimeMs: number): number {
    const nowMs = performance.now();
    const granted = Math.min(wantedMicro, this.lendableMicro(nowMs));
    if (granted <= 0) return 0;
    if (!this.bucket.lend(lotId, granted, lifetimeMs, nowMs)) return 0;
    this.lentSinceBroadcast = true;
    return granted;
  }

  acceptReturn(lotId: string, amountMicro: number): void {
    this.bucket.endLoan(lotId, amountMicro, performance.now());
    this.serveWaiting();
  }

  state(): Record<string, unknown> {
    const nowMs = performance.now();
    return {
      ownedTokens: this.bucket.levelMicro(nowMs) / MICRO_PER_TOKEN,
      borrowedTokens: this.lots.levelMicro(nowMs) / MICRO_PER_TOKEN,
      lentTokens: this.bucket.lentOutMicro() / MICRO_PER_TOKEN,
      waiting: this.waiting.count,
      demandPerSecond: this.demand.perSecond(),
    };
  }

  private takeToken(nowMs: number): boolean {
    const borrowed = this.lots.levelMicro(nowMs);
    const owned = this.bucket.levelMicro(nowMs);
    if (borrowed + owned < MICRO_PER_TOKEN) return false;
    const taken = borrowed > 0 ? this.lots.spend(MICRO_PER_TOKEN) : 0;
    this.bucket.spend(MICRO_PER_TOKEN - taken);
    if (this.lots.hasSpentLots()) this.onLotsSpent(this);
    return true;
  }

  private onWaitDeadline(): void {
    this.serveWaiting();
    this.waiting.refuseOverdue(this.refusal());
  }
}
