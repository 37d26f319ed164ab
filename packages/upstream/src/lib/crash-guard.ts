/**
 * Decides for one request whether it may be sent to a server, sent again or
 * hedged, given the crashes under it, and records how its attempts ended.
 */
import type {Logger} from '@fireflytrack/telemetry';
import {sleep} from '@fireflytrack/time';
import type {CrashCheck, ServerAddress} from './crash-check.js';
import type {
  CrashSuspects,
  SuspectIdentity,
  SuspectView,
} from './crash-suspects.js';
import type {ServerRun} from './known-limits.js';
import {digestHead, digestRequest} from './request-fingerprint.js';
import type {UpstreamRequest} from './upstream-request.js';

export interface CrashGuardContext {
  suspects: CrashSuspects;
  check: CrashCheck;
  /** Asks for the one trial of a held request that the fleet makes. */
  requestTrial(digest: string): Promise<boolean>;
  /** Called for each attempt that is not made. */
  onHeldBack(): void;
  logger: Logger;
}

export interface GuardedRequest {
  route: string;
  service: string;
  team: string | undefined;
  request: UpstreamRequest;
}

export interface HeldBack {
  reason: string;
  retryAfterMs: number;
}

/** An attempt whose connection the server's side ended. */
export interface LostAttempt {
  run: ServerRun;
  address: ServerAddress;
  /** Whether the server was listed as running when the connection was lost. */
  wasListed: boolean;
  startedAtMs: number;
}

// Most harmless requests that were on several servers which went down together
// are cleared within this time, by responses of other servers. Until then they
// wait, or are refused for a short time only.
const CLEARANCE_WAIT_MS = 500;
const CLEARANCE_POLL_MS = 20;
const FRESH_HOLD_MS = 2000;
const MIN_RETRY_AFTER_MS = 10_000;
// Spreads the requests that come again after a hold.
const RETRY_AFTER_SPREAD = 0.1;

export class CrashGuard {
  /** Servers that went down under attempts of this request. */
  private ownCrashes = 0;
  private isTrial = false;
  private identity: SuspectIdentity | undefined;
  private headDigest: string | undefined;

  private constructor(
    private readonly guarded: GuardedRequest,
    private readonly context: CrashGuardContext,
  ) {}

  static create(
    guarded: GuardedRequest,
    context: CrashGuardContext,
  ): CrashGuard {
    return new CrashGuard(guarded, context);
  }

  /** Digest of the request; undefined unless it has been suspected. */
  get fingerprint(): string | undefined {
    return this.identity?.digest;
  }

  /** Whether no further attempt may be started now. */
  get isHeld(): boolean {
    return !this.isTrial && (this.find()?.isHeld ?? false);
  }

  /** Whether a second attempt may run beside the first. */
  get allowsHedge(): boolean {
    return !this.isTrial && this.find() === undefined;
  }

  /**
   * Whether a request that has lost a server may be sent to another: only after
   * the first crash, so that at most one more server is at stake.
   */
  get allowsRetry(): boolean {
    if (this.isTrial) return false;
    const crashes = this.find()?.crashes ?? 0;
    return crashes <= 1 && this.ownCrashes <= 1;
  }

  /**
   * Waits for the clearance of a held request, or takes its trial. A trial needs
   * `hasSpareServer`: it must not cost the last server of the service.
   */
  async admit(hasSpareServer: boolean, deadlineAtMs: number): Promise<void> {
    const heldForMs = this.find()?.heldForMs ?? 0;
    const waitMs = CLEARANCE_WAIT_MS - heldForMs;
    await this.waitWhile(() => this.isHeld, waitMs, deadlineAtMs);
    const view = this.find();
    if (!view?.isHeld || view.trialInMs > 0 || !hasSpareServer) return;
    this.isTrial = await this.context.requestTrial(view.digest);
  }

  /** Waits for the clearance of a request that has lost its first server. */
  async waitForRetry(deadlineAtMs: number): Promise<void> {
    if (this.ownCrashes > 1 || this.isTrial) return;
    const isPending = () => !this.allowsRetry;
    await this.waitWhile(isPending, CLEARANCE_WAIT_MS, deadlineAtMs);
  }

  private async waitWhile(
    condition: () => boolean,
    waitMs: number,
    deadlineAtMs: number,
  ): Promise<void> {
    const untilMs = Math.min(performance.now() + waitMs, deadlineAtMs);
    while (condition() && performance.now() < untilMs) {
      await sleep(CLEARANCE_POLL_MS);
    }
  }

  /** Returns why no attempt may be made now; undefined if one may. */
  refuseAttempt(): HeldBack | undefined {
    const view = this.isTrial ? undefined : this.find();
    if (!view?.isHeld) return undefined;
    this.context.onHeldBack();
    const {crashes, heldForMs, trialInMs} = view;
    const reason = `${crashes} backend servers went down under the request`;
    if (heldForMs < FRESH_HOLD_MS) {
      return {reason, retryAfterMs: FRESH_HOLD_MS - heldForMs};
    }
    const spread = 1 + RETRY_AFTER_SPREAD * Math.random();
    const waitMs = Math.max(MIN_RETRY_AFTER_MS, trialInMs);
    return {reason, retryAfterMs: waitMs * spread};
  }

  /** Finds out whether the server has gone down and records it if so. */
  async recordLoss(lost: LostAttempt): Promise<void> {
    const {check, suspects, logger} = this.context;
    const {service, request} = this.guarded;
    const {requestId} = request;
    const {serverId, startedAtMs} = lost.run;
    const afterMs = Math.round(performance.now() - lost.startedAtMs);
    const isDown = await check.isDown(lost.address);
    const server = serverId;
    const fields = {requestId, server, service, afterMs, isDown};
    logger.info('connection to server lost', fields);
    // A server that has left the list stopped as planned.
    if (!isDown || !lost.wasListed) return;
    this.ownCrashes += 1;
    suspects.recordCrash(this.identify(), {serverId, startedAtMs});
  }

  /** Records that a server ran the request to a complete response. */
  recordSuccess(): void {
    const view = this.find();
    if (view) this.context.suspects.recordSuccess(view.digest);
  }

  private find(): SuspectView | undefined {
    const {suspects} = this.context;
    const {route, service, team, request} = this.guarded;
    if (!suspects.watchesRoute(route)) return undefined;
    this.headDigest ??= digestHead(service, team, request);
    if (!suspects.watchesHead(route, this.headDigest)) return undefined;
    return suspects.find(this.identify().digest);
  }

  private identify(): SuspectIdentity {
    if (this.identity) return this.identity;
    const {route, team, service, request} = this.guarded;
    const headDigest = (this.headDigest ??= digestHead(service, team, request));
    const digest = digestRequest(headDigest, request);
    this.identity = {digest, headDigest, route, team, service};
    return this.identity;
  }
}
