/**
 * Enforces one rate and burst per team across the entire fleet: every instance
 * owns a share of each team's bucket, and instances borrow tokens from each
 * other.
 */
import type {ConfigurationSource} from '@fireflytrack/configuration';
import type {Membership} from '@fireflytrack/membership';
import type {TableService} from '@fireflytrack/platform';
import type {Logger, Metrics} from '@fireflytrack/telemetry';
import type {PeerIdentity, PeerNetwork} from '@fireflytrack/wire';
import {
  BORROW_KIND,
  LEVELS_KIND,
  RETURN_KIND,
  borrowRequestSchema,
  levelsSchema,
  returnSchema,
} from './limit-messages.js';
import type {BorrowResponse, Levels} from './limit-messages.js';
import {ShareLedger} from './share-ledger.js';
import {TeamAccount} from './team-account.js';
import type {Admission, TeamLimiter} from './team-limiter.js';
import {TokenBorrower} from './token-borrower.js';

export interface BorrowingLimiterOptions {
  source: ConfigurationSource;
  network: PeerNetwork;
  membership: Membership;
  table: TableService;
  logger: Logger;
  metrics: Metrics;
  /** Returns a number in [0, 1); defaults to `Math.random`. */
  random?(): number;
}

const TICK_MS = 20;
const LEVELS_EVERY_TICKS = 5;
const UNKNOWN_TEAM_RETRY_MS = 1000;

export class BorrowingLimiter implements TeamLimiter {
  private readonly accounts = new Map<string, TeamAccount>();
  private readonly ledger: ShareLedger;
  private readonly borrower: TokenBorrower;
  private timer: NodeJS.Timeout | undefined;
  private lastTickAtMs = performance.now();
  private ticks = 0;

  private constructor(private readonly options: BorrowingLimiterOptions) {
    const random = options.random ?? Math.random;
    this.ledger = ShareLedger.create({
      ...options,
      shard: 0,
      random,
      onUsableParts: parts => this.applyUsableParts(parts),
    });
    this.borrower = TokenBorrower.create({
      ...options,
      random,
      usableParts: () => this.ledger.usableParts(),
    });
    this.registerHandlers(options.network);
    options.source.onChange(({configuration}) =>
      this.applyTeams(configuration.teams),
    );
  }

  static create(options: BorrowingLimiterOptions): BorrowingLimiter {
    return new BorrowingLimiter(options);
  }

  start(): void {
    this.ledger.start();
    this.lastTickAtMs = performance.now();
    this.timer ??= setInterval(() => this.tick(), TICK_MS);
  }

  /**
   * Returns the share to the ledger. Requests that arrive later are admitted
   * with borrowed tokens only.
   */
  async stop(): Promise<void> {
    await this.ledger.stop();
    clearInterval(this.timer);
    this.timer = undefined;
  }

  admit(teamName: string): Admission | Promise<Admission> {
    const account = this.accounts.get(teamName);
    if (!account) return {admitted: false, retryAfterMs: UNKNOWN_TEAM_RETRY_MS};
    const admission = account.tryAdmit();
    if (admission) return admission;
    if (!this.borrower.isWorthWaiting(account)) return account.createRefusal();
    const waiting = account.waitForToken();
    this.borrower.borrow(account);
    return waiting;
  }

  state(): Record<string, unknown> {
    const teams: Record<string, unknown> = {};
    for (const account of this.accounts.values()) {
      teams[account.teamName] = account.state();
    }
    return {ledger: this.ledger.state(), teams};
  }

  private applyTeams(
    teams: ReadonlyMap<string, {ratePerSecond: number; burstTokens: number}>,
  ): void {
    for (const teamName of this.accounts.keys()) {
      if (!teams.has(teamName)) this.accounts.delete(teamName);
    }
    for (const [teamName, {ratePerSecond, burstTokens}] of teams) {
      const rate = {ratePerSecond, burstTokens};
      const account = this.accounts.get(teamName);
      if (account) account.setRate(rate);
      else this.accounts.set(teamName, this.createAccount(teamName, rate));
    }
  }

  private createAccount(
    teamName: string,
    rate: {ratePerSecond: number; burstTokens: number},
  ): TeamAccount {
    const parts = this.ledger.usableParts();
    const partsOf = (peerId: string) => this.ledger.lastSeenPartsOf(peerId);
    return TeamAccount.create(teamName, rate, parts, partsOf, account =>
      this.borrower.reportSpentLots(account),
    );
  }

  private applyUsableParts(parts: number): void {
    for (const account of this.accounts.values()) account.setParts(parts);
  }

  private registerHandlers(network: PeerNetwork): void {
    network.onRequest(BORROW_KIND, (from, payload) =>
      this.handleBorrowRequest(from, payload),
    );
    network.onMessage(LEVELS_KIND, (from, payload) => {
      const parsed = levelsSchema.safeParse(payload);
      if (!parsed.success) return this.logInvalidMessage(from, LEVELS_KIND);
      this.ledger.recordContact(from.instanceId);
      const levels = Object.entries(parsed.data.lendableMicro);
      for (const [teamName, lendableMicro] of levels) {
        const account = this.accounts.get(teamName);
        account?.peerLevels.recordLevel(from.instanceId, lendableMicro);
      }
    });
    network.onMessage(RETURN_KIND, (from, payload) => {
      const parsed = returnSchema.safeParse(payload);
      if (!parsed.success) return this.logInvalidMessage(from, RETURN_KIND);
      const {teamName, lotId, amountMicro} = parsed.data;
      const account = this.accounts.get(teamName);
      account?.acceptReturn(`${from.instanceId}/${lotId}`, amountMicro);
    });
  }

  private handleBorrowRequest(
    from: PeerIdentity,
    payload: unknown,
  ): BorrowResponse {
    const request = borrowRequestSchema.parse(payload);
    this.ledger.recordContact(from.instanceId);
    const account = this.accounts.get(request.teamName);
    if (!account) return {grantedMicro: 0, lendableMicro: 0};
    // If requests wait at both instances, only the instance with the higher id
    // lends. Otherwise each could hold half a token until both refuse.
    const self = this.options.network.self.instanceId;
    const keepsTokens = account.waitingCount > 0 && self < from.instanceId;
    const grantedMicro = keepsTokens
      ? 0
      : account.lend(
          `${from.instanceId}/${request.lotId}`,
          request.wantedMicro,
          request.lifetimeMs,
        );
    const lendableMicro = keepsTokens
      ? 0
      : account.lendableMicro(performance.now());
    return {grantedMicro, lendableMicro};
  }

  private tick(): void {
    const nowMs = performance.now();
    const elapsedMs = nowMs - this.lastTickAtMs;
    this.lastTickAtMs = nowMs;
    this.ticks += 1;
    for (const account of this.accounts.values()) {
      if (account.waitingCount > 0) account.serveWaiting();
      this.borrower.returnUnspentLots(account);
      if (account.demand.isIdle()) continue;
      account.demand.tick(elapsedMs);
      account.borrowPace.tick();
      this.borrower.borrow(account);
    }
    if (this.ticks % LEVELS_EVERY_TICKS === 0) this.broadcastLevels(nowMs);
  }

  private broadcastLevels(nowMs: number): void {
    const levels: Levels = {lendableMicro: {}};
    let hasLevels = false;
    for (const account of this.accounts.values()) {
      if (account.demand.isIdle() && !account.lentSinceBroadcast) continue;
      account.lentSinceBroadcast = false;
      levels.lendableMicro[account.teamName] = account.lendableMicro(nowMs);
      hasLevels = true;
    }
    if (hasLevels) this.options.network.broadcast(LEVELS_KIND, levels);
  }

  private logInvalidMessage(from: PeerIdentity, kind: string): void {
    const {instanceId} = from;
    this.options.logger.warn('received an invalid message', {instanceId, kind});
  }
}
