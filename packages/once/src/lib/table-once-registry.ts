/**
 * At-most-once execution by a claim row that is written before dispatch.
 *
 * Another call may take over a claim only after its claimer stated, in a peer
 * reply or in the row, that the request did not run and never will under it.
 */
import type {Membership} from '@fireflytrack/membership';
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {TableService} from '@fireflytrack/platform';
import type {Logger} from '@fireflytrack/telemetry';
import type {PeerNetwork} from '@fireflytrack/wire';
import {RETRY_WINDOW_MS, decodeResponse, toRowKey} from './claim-row.js';
import {ClaimStatusExchange} from './claim-status.js';
import {ClaimStore} from './claim-store.js';
import type {ClaimResult, VersionedClaimRow} from './claim-store.js';
import {
  responseGoneError,
  inProgressError,
  notRunError,
  storeUnavailableError,
  unknownOutcomeError,
} from './once-errors.js';
import {OnceHousekeeping} from './once-housekeeping.js';
import type {
  DispatchOutcome,
  OnceError,
  OnceRegistry,
  OnceRequest,
  StoredAnswer,
} from './once-registry.js';
import {OwnClaim} from './own-claim.js';
import {parseUuidV7TimeMs} from './uuid-time.js';

export interface TableOnceRegistryOptions {
  table: TableService;
  network: PeerNetwork;
  membership: Membership;
  logger: Logger;
}

type Dispatch = () => Promise<DispatchOutcome>;
type OnceResult = Result<StoredAnswer, OnceError>;

/** One call of `run`. */
interface RunCall {
  request: OnceRequest;
  rowKey: string;
  deadlineAtMs: number;
  dispatch: Dispatch;
  /** The claim that its claimer last reported as running. */
  runningClaimId?: string;
}

/** The next step of a call, or its result. */
type CallStep =
  | {kind: 'return'; result: OnceResult}
  /** Claim the key by replacing the row of this version; 0 inserts. */
  | {kind: 'claim'; ifVersion: number}
  | {kind: 'inspect'; row: VersionedClaimRow};

/** Maximum age of a claim when its request is dispatched. */
const MAX_CLAIM_TO_DISPATCH_MS = 10_000;
/** The response is delayed up to this long until its outcome is stored. */
const STORE_WAIT_MS = 250;
const STORE_PERIOD_MS = 500;
/**
 * After an outage, 40 instances store their outcomes at the same time; this
 * keeps their reads within the 2,000 a second that the table allows.
 */
const MAX_STORES_PER_PERIOD = 25;
const STOP_TIMEOUT_MS = 2000;
/**
 * With more claims that are running or not stored yet, new calls are refused.
 */
const MAX_OPEN_CLAIMS = 10_000;

export class TableOnceRegistry implements OnceRegistry {
  private readonly claims = new Map<string, OwnClaim>();
  private readonly store: ClaimStore;
  private readonly exchange: ClaimStatusExchange;
  private readonly housekeeping: OnceHousekeeping;
  private storeTimer: NodeJS.Timeout | undefined;
  private stopped = false;

  private constructor(private readonly options: TableOnceRegistryOptions) {
    const {table, network, membership, logger} = options;
    const {claims} = this;
    const {instanceId} = membership.self;
    this.store = ClaimStore.create({table, claims, logger});
    this.exchange = ClaimStatusExchange.create(network, claims);
    this.housekeeping = OnceHousekeeping.create({table, instanceId, logger});
  }

  static create(options: TableOnceRegistryOptions): TableOnceRegistry {
    return new TableOnceRegistry(options);
  }

  start(): void {
    this.housekeeping.start();
    const storeClaims = () =>
      void this.store.storeSettledClaims(MAX_STORES_PER_PERIOD);
    this.storeTimer = setInterval(storeClaims, STORE_PERIOD_MS);
  }

  /** Refuses new calls and stores remaining outcomes for a bounded time. */
  async stop(): Promise<void> {
    this.stopped = true;
    clearInterval(this.storeTimer);
    const pendingWork = [
      this.store.storeSettledClaims(MAX_OPEN_CLAIMS),
      this.housekeeping.stop(),
    ];
    await withTimeout(STOP_TIMEOUT_MS, Promise.all(pendingWork));
  }

  /** Counts of open claims by state, for the state dump. */
  state(): unknown {
    const counts: Record<string, number> = {};
    for (const {state} of this.claims.values()) {
      counts[state.kind] = (counts[state.kind] ?? 0) + 1;
    }
    return {openClaims: counts, housekeeping: this.housekeeping.state()};
  }

  async run(request: OnceRequest, dispatch: Dispatch): Promise<OnceResult> {
    const refusal = this.findRefusal(request);
    if (refusal) return Err(refusal);
    const deadlineAtMs = performance.now() + request.deadlineMs;
    const rowKey = toRowKey(request);
    const call: RunCall = {request, rowKey, deadlineAtMs, dispatch};
    let step: CallStep = {kind: 'claim', ifVersion: 0};
    while (step.kind !== 'return') {
      step =
        step.kind === 'claim'
          ? await this.claimKey(call, step.ifVersion)
          : await this.inspectRow(call, step.row);
    }
    return step.result;
  }

  private findRefusal(request: OnceRequest): OnceError | undefined {
    if (this.stopped) return notRunError('the instance is stopping');
    if (this.claims.size >= MAX_OPEN_CLAIMS) {
      return storeUnavailableError('too many claims are not stored yet');
    }
    const keyTimeMs = parseUuidV7TimeMs(request.idempotencyKey);
    if (keyTimeMs === undefined) return undefined;
    if (Date.now() - keyTimeMs <= RETRY_WINDOW_MS) return undefined;
    return {kind: 'key-expired', message: 'the key is older than 24 h'};
  }

  private async claimKey(call: RunCall, ifVersion: number): Promise<CallStep> {
    const {rowKey, request} = call;
    if (remainingMs(call) <= 0)
      return errorStep(notRunError('the deadline passed'));
    const claimer = this.options.membership.self.instanceId;
    const {requestDigest} = request;
    const claim = OwnClaim.create({rowKey, claimer, requestDigest, ifVersion});
    this.claims.set(claim.claimId, claim);
    const writing = this.store.claim(claim).catch(toUnresolvedResult);
    const boundMs = Math.min(remainingMs(call), MAX_CLAIM_TO_DISPATCH_MS);
    const result = await withTimeout(boundMs, writing);
    if (result?.kind === 'won') return this.dispatchClaim(call, claim);
    claim.abandon();
    void writing.then(late => this.removeIfWithoutEffect(claim, late));
    if (result?.kind === 'lost') {
      if (result.row) return {kind: 'inspect', row: result.row};
      return {kind: 'claim', ifVersion: 0};
    }
    const message = result?.message ?? 'no answer of the table in time';
    return errorStep(storeUnavailableError(message));
  }

  /** A claim whose write never takes effect needs no outcome in the table. */
  private removeIfWithoutEffect(claim: OwnClaim, result: ClaimResult): void {
    if (result.kind === 'lost' || result.kind === 'unavailable') {
      this.claims.delete(claim.claimId);
    }
  }

  /**
   * Dispatches the request under a won claim, unless too much time has passed.
   */
  private async dispatchClaim(
    call: RunCall,
    claim: OwnClaim,
  ): Promise<CallStep> {
    const late =
      remainingMs(call) <= 0 || claim.ageMs >= MAX_CLAIM_TO_DISPATCH_MS;
    // No other task of the process runs between this check and the dispatch.
    if (late || !claim.startDispatch()) {
      claim.abandon();
      void this.store.storeOutcome(claim);
      return errorStep(notRunError('the claim was not confirmed in time'));
    }
    const outcome = await runDispatch(call.dispatch);
    claim.recordOutcome(outcome);
    await withTimeout(STORE_WAIT_MS, this.store.storeOutcome(claim));
    if (outcome.kind === 'answered') return returnStep(Ok(outcome.answer));
    if (outcome.kind === 'unknown')
      return errorStep(unknownOutcomeError(outcome.reason));
    const {reason, retryAfterMs} = outcome;
    return errorStep({
      ...notRunError(reason),
      ...(retryAfterMs !== undefined && {retryAfterMs}),
    });
  }

  /** Decides the next step by the row of an earlier claim on the same key. */
  private async inspectRow(
    call: RunCall,
    found: VersionedClaimRow,
  ): Promise<CallStep> {
    const {version, claim} = found;
    if (claim.requestDigest !== call.request.requestDigest) {
      const message = 'the key belongs to another request';
      return errorStep({kind: 'key-reused', message});
    }
    switch (claim.state) {
      case 'abandoned':
        return {kind: 'claim', ifVersion: version};
      case 'claimed':
        return this.queryClaimer(call, found);
      case 'unknown':
        return errorStep(
          unknownOutcomeError('an earlier attempt may have run'),
        );
      case 'done':
        if (claim.answer) return returnStep(Ok(decodeResponse(claim.answer)));
        return errorStep(responseGoneError());
      case 'gone':
        return errorStep(responseGoneError());
    }
  }

  private async queryClaimer(
    call: RunCall,
    found: VersionedClaimRow,
  ): Promise<CallStep> {
    const {claimId, claimer} = found.claim;
    if (remainingMs(call) <= 0) return errorStep(inProgressError());
    const status = await this.exchange.query(
      claimer,
      claimId,
      remainingMs(call),
    );
    switch (status?.kind) {
      case 'running':
        call.runningClaimId = claimId;
        return {kind: 'inspect', row: found};
      case 'not-run':
        return {kind: 'claim', ifVersion: found.version};
      case 'done':
        return returnStep(Ok(status.answer));
      case 'gone':
        return errorStep(responseGoneError());
      case 'unknown':
        return errorStep(
          unknownOutcomeError('an earlier attempt may have run'),
        );
      default:
        return this.rereadRow(call, claimId);
    }
  }

  /**
   * Without a status from the claimer, only a changed row can give the outcome.
   */
  private async rereadRow(call: RunCall, claimId: string): Promise<CallStep> {
    if (remainingMs(call) <= 0 && call.runningClaimId === claimId) {
      return errorStep(inProgressError());
    }
    const reading = this.store.readRow(call.rowKey);
    const row = await withTimeout(Math.max(1, remainingMs(call)), reading);
    const unchanged =
      row?.claim.claimId === claimId && row.claim.state === 'claimed';
    if (!row || unchanged) {
      return errorStep(
        unknownOutcomeError('an earlier attempt may run elsewhere'),
      );
    }
    return {kind: 'inspect', row};
  }
}

/** When the row cannot be parsed, the outcome of the claim write is unknown. */
function toUnresolvedResult(error: Error): ClaimResult {
  return {kind: 'unresolved', message: error.message};
}

function remainingMs(call: RunCall): number {
  return call.deadlineAtMs - performance.now();
}

async function runDispatch(dispatch: Dispatch): Promise<DispatchOutcome> {
  try {
    return await dispatch();
  } catch (error) {
    return {kind: 'unknown', reason: String(error)};
  }
}

/** Resolves to the value of `work`, or to undefined after `durationMs`. */
async function withTimeout<T>(
  durationMs: number,
  work: Promise<T>,
): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const bound = new Promise<undefined>(resolve => {
    timer = setTimeout(() => resolve(undefined), durationMs);
  });
  const result = await Promise.race([work, bound]);
  clearTimeout(timer);
  return result;
}

function returnStep(result: OnceResult): CallStep {
  return {kind: 'return', result};
}

function errorStep(error: OnceError): CallStep {
  return returnStep(Err(error));
}
