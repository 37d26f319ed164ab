/**
 * State of one team at one instance: the owned bucket, the borrowed lots, the
 * waiting requests, and the tokens that may be lent.
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

// Maximum time that a request waits for borrowed tokens: three round trips
// between regions (16 ms each) and the processing time of the peers.
const MAX_WAIT_MS = 60;
// A lender reserves the tokens that its own callers need within this time,
// until it can borrow again.
const LENDER_RESERVE_MS = 50;

// Partial grants show that the known levels of the peers are too high. Little
// time is left for the waiting requests, so more tokens are requested than they
// need, up to this factor.
const MAX_OVERREQUEST_FACTOR = 4;

const ADMITTED: Admission = {admitted: true};

export class TeamAccount {
  readonly demand = DemandMeter.create();
  readonly borrowPace = BorrowPace.create();
  readonly borrowedLots = BorrowedLots.create();
  readonly peerLevels: PeerLevels;
  /** Tokens requested from peers that have not responded yet. */
  requestedMicro = 0;
  /** Number of partial grants since a waiting request was last admitted. */
  partialGrants = 0;
  /** When peers were last queried although the estimates were too low. */
  probedAtMs = -Infinity;
  /** Whether tokens were lent since the levels were last broadcast. */
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

  /**
   * `onLotsSpent` is called when borrowed lots of less than a token are used
   * up.
   */
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

  /** Admits the request, unless tokens are short or other requests wait. */
  tryAdmit(): Admission | undefined {
    this.demand.recordArrival();
    if (this.waiting.count > 0) return undefined;
    return this.tryTakeToken(performance.now()) ? ADMITTED : undefined;
  }

  /** Waits for a token; requests are admitted in order of arrival. */
  waitForToken(): Promise<Admission> {
    return this.waiting.enqueue(MAX_WAIT_MS);
  }

  createRefusal(): Admission {
    const neededTokens = this.waiting.count + 1;
    const waitMs = (neededTokens * 1000) / this.currentRate.ratePerSecond;
    return {admitted: false, retryAfterMs: Math.ceil(waitMs)};
  }

  /** Admits waiting requests while tokens are available. */
  serveWaiting(): void {
    const nowMs = performance.now();
    while (this.waiting.count > 0 && this.tryTakeToken(nowMs)) {
      this.waiting.settleOldest(ADMITTED);
      this.partialGrants = 0;
    }
  }

  /** Multiple of the waiting requests' need that is requested from peers. */
  overrequestFactor(): number {
    if (this.waiting.count > MAX_OVERREQUEST_FACTOR) return 1;
    return Math.min(MAX_OVERREQUEST_FACTOR, 1 + this.partialGrants / 4);
  }

  addBorrowed(lot: BorrowedLot): void {
    this.borrowedLots.add(lot, performance.now());
    this.serveWaiting();
  }

  /** Tokens that can be spent here, owned and borrowed, in millionths. */
  availableMicro(nowMs: number): number {
    return (
      this.bucket.availableMicro(nowMs) +
      this.borrowedLots.availableMicro(nowMs)
    );
  }

  /** Tokens that a peer may borrow now, in whole millionths. */
  lendableMicro(nowMs: number): number {
    const level = this.bucket.availableMicro(nowMs);
    // A share that never holds a whole token cannot admit a request by itself.
    if (this.bucket.capacityMicro() < MICRO_PER_TOKEN) return Math.floor(level);
    const perSecond = Math.min(
      this.demand.perSecond(),
      this.currentRate.ratePerSecond,
    );
    const reserve = (perSecond * LENDER_RESERVE_MS * MICRO_PER_TOKEN) / 1000;
    return Math.max(0, Math.floor(level - reserve));
  }

  /**
   * Lends up to `wantedMicro` to a peer; returns the amount that it may spend.
   */
  lend(lotId: string, wantedMicro: number, lifetimeMs: number): number {
    const nowMs = performance.now();
    const granted = Math.min(wantedMicro, this.lendableMicro(nowMs));
    if (granted <= 0) return 0;
    if (!this.bucket.lend(lotId, granted, lifetimeMs, nowMs)) return 0;
    this.lentSinceBroadcast = true;
    return granted;
  }

  acceptReturn(lotId: string, amountMicro: number): void {
    this.bucket.settleLot(lotId, amountMicro, performance.now());
    this.serveWaiting();
  }

  state(): Record<string, unknown> {
    const nowMs = performance.now();
    return {
      ownedTokens: this.bucket.availableMicro(nowMs) / MICRO_PER_TOKEN,
      borrowedTokens: this.borrowedLots.availableMicro(nowMs) / MICRO_PER_TOKEN,
      lentTokens: this.bucket.outstandingLentMicro() / MICRO_PER_TOKEN,
      waiting: this.waiting.count,
      demandPerSecond: this.demand.perSecond(),
    };
  }

  private tryTakeToken(nowMs: number): boolean {
    const borrowed = this.borrowedLots.availableMicro(nowMs);
    const owned = this.bucket.availableMicro(nowMs);
    if (borrowed + owned < MICRO_PER_TOKEN) return false;
    const spentBorrowed =
      borrowed > 0 ? this.borrowedLots.spend(MICRO_PER_TOKEN) : 0;
    this.bucket.spend(MICRO_PER_TOKEN - spentBorrowed);
    if (this.borrowedLots.hasSpentLots()) this.onLotsSpent(this);
    return true;
  }

  private onWaitDeadline(): void {
    this.serveWaiting();
    this.waiting.refuseExpired(this.createRefusal());
  }
}
