/**
 * Attempts of one call at backend servers: selection, forwarding, evidence,
 * retries and hedges out of the budget.
 */
import type {Selection, ServerSelector} from '@fireflytrack/health';
import type {DispatchOutcome} from '@fireflytrack/once';
import type {AttemptResult} from './attempt-result.js';
import type {Call} from './call.js';
import type {Attempt, Forwarder, ForwardRequest} from './forwarder.js';
import type {HedgeDelay} from './hedge-delay.js';
import {ResponseOwner} from './response-owner.js';
import type {RetryAllowance} from './retry-allowance.js';
import {serverOutcomeKind} from './server-outcome.js';

export interface AttemptsOptions {
  selector: ServerSelector;
  forwarder: Forwarder;
  retries: RetryAllowance;
  hedgeDelay: HedgeDelay;
  /** Connections of this instance to each server of the service. */
  connections: number;
}

const MAX_ATTEMPTS = 3;

interface RunningAttempt {
  attempt: Attempt;
  result: Promise<AttemptResult>;
}

export class Attempts {
  private readonly tried = new Set<string>();
  private readonly running = new Set<Attempt>();
  private readonly owner = ResponseOwner.create();
  private ended = false;

  private constructor(
    private readonly call: Call,
    private readonly forward: ForwardRequest,
    private readonly options: AttemptsOptions,
  ) {}

  static create(
    call: Call,
    forward: ForwardRequest,
    options: AttemptsOptions,
  ): Attempts {
    return new Attempts(call, forward, options);
  }

  /** Gives up every attempt that runs, and starts no more. */
  end(): void {
    this.ended = true;
    for (const attempt of this.running) attempt.cancel();
  }

  /**
   * Runs an idempotent request until an answer is good, the budget, the
   * deadline or the servers are used up. Undefined: no server was usable.
   */
  async runIdempotent(): Promise<AttemptResult | undefined> {
    const {retries} = this.options;
    const {service} = this.call.route;
    retries.recordRequest(service);
    const repeatable = this.forward.body.kind !== 'stream';
    let last: AttemptResult | undefined;
    for (let count = 0; count < MAX_ATTEMPTS; count += 1) {
      if (count > 0 && !retries.tryTake(service)) return last;
      const result = await (repeatable ? this.hedged() : this.single());
      if (result === undefined) return last;
      last = result;
      if (!repeatable || !isWorthRetrying(result) || this.ended) return last;
      if (performance.now() >= this.call.deadlineAtMs) return last;
    }
    return last;
  }

  /**
   * Sends a non-idempotent request. A further server is tried only while it is
   * certain that none got a byte of it.
   */
  async runOnce(): Promise<DispatchOutcome> {
    for (let count = 0; count < MAX_ATTEMPTS; count += 1) {
      const result = await this.single();
      if (result === undefined) break;
      if (result.kind === 'held') {
        return {kind: 'answered', answer: result.answer};
      }
      if (result.kind === 'declined') {
        const retryAfterMs = result.retryAfterMs ?? 1000;
        const reason = 'the backend server declined it';
        return {kind: 'not-run', reason, retryAfterMs};
      }
      if (result.kind !== 'failed' || result.mayHaveRun) {
        return {kind: 'unknown', reason: reasonOf(result)};
      }
      if (result.cause !== 'connect') break;
    }
    return {kind: 'not-run', reason: 'no server could be reached'};
  }

  private async single(): Promise<AttemptResult | undefined> {
    return this.start()?.result;
  }

  /** One attempt, and a second one at another server if the first is late. */
  private async hedged(): Promise<AttemptResult | undefined> {
    const first = this.start();
    if (!first) return undefined;
    const {hedgeDelay, retries} = this.options;
    const {service} = this.call.route;
    const late = await isLate(first.result, hedgeDelay.delayMs(service));
    if (!late || this.ended || !retries.tryTake(service)) return first.result;
    const second = this.start();
    if (!second) return first.result;
    return firstGood(first, second);
  }

  private start(): RunningAttempt | undefined {
    const {selector, forwarder, connections} = this.options;
    const {service} = this.call.route;
    if (this.ended) return undefined;
    const selected = selector.select(service, {excluded: this.tried});
    if (selected.err) return undefined;
    const selection = selected.val;
    this.tried.add(selection.server.serverId);
    const attempt = forwarder.attempt(
      selection.server,
      connections,
      this.forward,
      this.call.response,
      this.owner,
    );
    this.running.add(attempt);
    return {attempt, result: this.settle(attempt, selection)};
  }

  private async settle(
    attempt: Attempt,
    selection: Selection,
  ): Promise<AttemptResult> {
    const startedAtMs = performance.now();
    const result = await attempt.result;
    this.running.delete(attempt);
    const latencyMs = performance.now() - startedAtMs;
    const kind = serverOutcomeKind(result);
    selection.settle({kind, latencyMs});
    if (kind === 'ok') {
      this.options.hedgeDelay.record(this.call.route.service, latencyMs);
    }
    return result;
  }
}

function isLate(
  result: Promise<AttemptResult>,
  delayMs: number,
): Promise<boolean> {
  return new Promise(resolve => {
    const timer = setTimeout(() => resolve(true), delayMs);
    void result.then(() => {
      clearTimeout(timer);
      resolve(false);
    });
  });
}

/** The first good result cancels the other attempt; else the later one. */
async function firstGood(
  first: RunningAttempt,
  second: RunningAttempt,
): Promise<AttemptResult> {
  const early = await Promise.race([
    first.result.then(result => ({result, other: second})),
    second.result.then(result => ({result, other: first})),
  ]);
  if (isWorthRetrying(early.result)) return early.other.result;
  early.other.attempt.cancel();
  return early.result;
}

function isWorthRetrying(result: AttemptResult): boolean {
  switch (result.kind) {
    case 'held':
      return result.answer.status >= 500;
    case 'declined':
      return true;
    case 'failed':
      return result.cause !== 'deadline' && result.cause !== 'caller';
    case 'streamed':
    case 'broken':
      return false;
  }
}

function reasonOf(result: AttemptResult): string {
  return result.kind === 'failed' || result.kind === 'broken'
    ? result.reason
    : 'broken answer';
}
