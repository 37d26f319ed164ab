/**
 * At-most-once execution by a claim row that is inserted before dispatch.
 *
 * A claim passes to another call only after its claimer stated that it never
 * ran and never will, by a peer answer or in the row.
 */
import type {Membership} from '@fireflytrack/membership';
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {TableService} from '@fireflytrack/platform';
import type {Logger} from '@fireflytrack/telemetry';
import type {PeerNetwork} from '@fireflytrack/wire';
import {WINDOW_MS, restoreAnswer, toRowKey} from './claim-row.js';
import {ClaimStatusExchange} from './claim-status.js';
import {ClaimStore} from './claim-store.js';
import type {ClaimResult, FoundClaim} from './claim-store.js';
import {
  answerGone,
  inProgress,
  notRun,
  storeUnavailable,
  unknown,
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
import {uuidTimeMs} from './uuid-time.js';

export interface TableOnceRegistryOptions {
  table: TableService;
  network: PeerNetwork;
  membership: Membership;
  logger: Logger;
}

type Dispatch = () => Promise<DispatchOutcome>;
type OnceResult = Result<StoredAnswer, OnceError>;

/** One call of `run`. */
interface Call {
  request: OnceRequest;
  rowKey: string;
  deadlineAtMs: number;
  dispatch: Dispatch;
  /** The claim that its claimer last reported as running. */
  runningClaimId?: string;
}

/** Next step of a call. */
type RepeatStep =
  | {kind: 'return'; result: OnceResult}
  /** Claim the key by replacing the row of this version; 0 inserts. */
  | {kind: 'claim'; ifVersion: number}
  | {kind: 'look'; row: FoundClaim};

/** Bounds how old a claim is when its request leaves this instance. */
const MAX_CLAIM_TO_DISPATCH_MS = 10_000;
/** The caller waits this long for its outcome to be stored. */
const STORE_WAIT_MS = 250;
const REPAIR_PERIOD_MS = 500;
/**
 * After an outage 40 instances repair at once; this keeps their reads within
 * the table's 2,000 a second.
 */
const REPAIRS_PER_PERIOD = 25;
const STOP_STORE_MS = 2000;
/** With more claims open or not stored, new ones are refused. */
const MAX_OPEN_CLAIMS = 10_000;

export class TableOnceRegistry implements OnceRegistry {
  private readonly claims = new Map<string, OwnClaim>();
  private readonly store: ClaimStore;
  private readonly exchange: ClaimStatusExchange;
  private readonly housekeeping: OnceHousekeeping;
  private repairTimer: NodeJS.Timeout | undefined;
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
    const repair = () => void this.store.storeOpen(REPAIRS_PER_PERIOD);
    this.repairTimer = setInterval(repair, REPAIR_PERIOD_MS);
  }

  /** Refuses new calls and stores what is not stored yet, for a bounded time. */
  async stop(): Promise<void> {
    this.stopped = true;
    clearInterval(this.repairTimer);
    const work = [
      this.store.storeOpen(MAX_OPEN_CLAIMS),
      this.housekeeping.stop(),
    ];
    await withTimeout(STOP_STORE_MS, Promise.all(work));
  }

  /** Counts for the state dump. */
  state(): unknown {
    const counts: Record<string, number> = {};
    for (const {state} of this.claims.values()) {
      counts[state.kind] = (counts[state.kind] ?? 0) + 1;
    }
    return {openClaims: counts, housekeeping: this.housekeeping.state()};
  }

  async run(request: OnceRequest, dispatch: Dispatch): Promise<OnceResult> {
    const refusal = this.refuseAtOnce(request);
    if (refusal) return Err(refusal);
    const deadlineAtMs = performance.now() + request.deadlineMs;
    const rowKey = toRowKey(request);
    const call: Call = {request, rowKey, deadlineAtMs, dispatch};
    let step: RepeatStep = {kind: 'claim', ifVersion: 0};
    while (step.kind !== 'return') {
      step =
        step.kind === 'claim'
          ? await this.claim(call, step.ifVersion)
          : await this.look(call, step.row);
    }
    return step.result;
  }

  private refuseAtOnce(request: OnceRequest): OnceError | undefined {
    if (this.stopped) return notRun('the instance is stopping');
    if (this.claims.size >= MAX_OPEN_CLAIMS) {
      return storeUnavailable('too many claims are not stored yet');
    }
    const keyTimeMs = uuidTimeMs(request.idempotencyKey);
    if (keyTimeMs === undefined) return undefined;
    if (Date.now() - keyTimeMs <= WINDOW_MS) return undefined;
    return {kind: 'key-expired', message: 'the key is older than 24 h'};
  }

  private async claim(call: Call, ifVersion: number): Promise<RepeatStep> {
    const {rowKey, request} = call;
    if (remainingMs(call) <= 0) return refused(notRun('the deadline passed'));
    const claimer = this.options.membership.self.instanceId;
    const {requestDigest} = request;
    const claim = OwnClaim.create({rowKey, claimer, requestDigest, ifVersion});
    this.claims.set(claim.claimId, claim);
    const writing = this.store.claim(claim).catch(unresolved);
    const boundMs = Math.min(remainingMs(call), MAX_CLAIM_TO_DISPATCH_MS);
    const result = await withTimeout(boundMs, writing);
    if (result?.kind === 'won') return this.execute(call, claim);
    claim.abandon();
    void writing.then(late => this.dropIfWithoutEffect(claim, late));
    if (result?.kind === 'lost') {
      if (result.row) return {kind: 'look', row: result.row};
      return {kind: 'claim', ifVersion: 0};
    }
    const message = result?.message ?? 'no answer of the table in time';
    return refused(storeUnavailable(message));
  }

  /** A write that certainly never takes effect needs no repair. */
  private dropIfWithoutEffect(claim: OwnClaim, result: ClaimResult): void {
    if (result.kind === 'lost' || result.kind === 'unavailable') {
      this.claims.delete(claim.claimId);
    }
  }

  /** Dispatches under a won claim, unless too much time has passed. */
  private async execute(call: Call, claim: OwnClaim): Promise<RepeatStep> {
    const late =
      remainingMs(call) <= 0 || claim.ageMs >= MAX_CLAIM_TO_DISPATCH_MS;
    // From this check to the dispatch no other task of the process runs.
    if (late || !claim.begin()) {
      claim.abandon();
      void this.store.store(claim);
      return refused(notRun('the claim was not confirmed in time'));
    }
    const outcome = await settled(call.dispatch);
    claim.end(outcome);
    await withTimeout(STORE_WAIT_MS, this.store.store(claim));
    if (outcome.kind === 'answered') return returned(Ok(outcome.answer));
    if (outcome.kind === 'unknown') return refused(unknown(outcome.reason));
    const {reason, retryAfterMs} = outcome;
    return refused({
      ...notRun(reason),
      ...(retryAfterMs !== undefined && {retryAfterMs}),
    });
  }

  /** Decides by the row of an earlier claim of the same key. */
  private async look(call: Call, found: FoundClaim): Promise<RepeatStep> {
    const {version, claim} = found;
    if (claim.requestDigest !== call.request.requestDigest) {
      const message = 'the key belongs to another request';
      return refused({kind: 'key-reused', message});
    }
    switch (claim.state) {
      case 'abandoned':
        return {kind: 'claim', ifVersion: version};
      case 'claimed':
        return this.queryClaimer(call, found);
      case 'unknown':
        return refused(unknown('an earlier attempt may have run'));
      case 'done':
        if (claim.answer) return returned(Ok(restoreAnswer(claim.answer)));
        return refused(answerGone());
      case 'gone':
        return refused(answerGone());
    }
  }

  private async queryClaimer(
    call: Call,
    found: FoundClaim,
  ): Promise<RepeatStep> {
    const {claimId, claimer} = found.claim;
    if (remainingMs(call) <= 0) return refused(inProgress());
    const status = await this.exchange.query(
      claimer,
      claimId,
      remainingMs(call),
    );
    switch (status?.kind) {
      case 'running':
        call.runningClaimId = claimId;
        return {kind: 'look', row: found};
      case 'not-run':
        return {kind: 'claim', ifVersion: found.version};
      case 'done':
        return returned(Ok(status.answer));
      case 'gone':
        return refused(answerGone());
      case 'unknown':
        return refused(unknown('an earlier attempt may have run'));
      default:
        return this.rereadRow(call, claimId);
    }
  }

  /** Without a status from the claimer, only a changed row gives an outcome. */
  private async rereadRow(call: Call, claimId: string): Promise<RepeatStep> {
    if (remainingMs(call) <= 0 && call.runningClaimId === claimId) {
      return refused(inProgress());
    }
    const reading = this.store.find(call.rowKey);
    const row = await withTimeout(Math.max(1, remainingMs(call)), reading);
    const unchanged =
      row?.claim.claimId === claimId && row.claim.state === 'claimed';
    if (!row || unchanged) {
      return refused(unknown('an earlier attempt may run elsewhere'));
    }
    return {kind: 'look', row};
  }
}

/** With an unreadable row, the outcome of the claim write is unknown. */
function unresolved(error: Error): ClaimResult {
  return {kind: 'unresolved', message: error.message};
}

function remainingMs(call: Call): number {
  return call.deadlineAtMs - performance.now();
}

async function settled(dispatch: Dispatch): Promise<DispatchOutcome> {
  try {
    return await dispatch();
  } catch (error) {
    return {kind: 'unknown', reason: String(error)};
  }
}

/** The value of `work`, or undefined when it takes longer. */
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

function returned(result: OnceResult): RepeatStep {
  return {kind: 'return', result};
}

function refused(error: OnceError): RepeatStep {
  return returned(Err(error));
}
