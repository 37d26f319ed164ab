/**
 * Attempts of one call at backend servers: server selection, forwarding, health
 * evidence, and retries and hedges within the retry allowance.
 */
import type {Selection, ServerSelector} from '@fireflytrack/health';
import type {DispatchOutcome} from '@fireflytrack/once';
import type {AttemptResult} from './attempt-result.js';
import type {Call} from './call.js';
import type {Attempt, Forwarder, ForwardRequest} from './forwarder.js';
import type {HedgeDelay} from './hedge-delay.js';
import {ResponseOwner} from './response-owner.js';
import type {RetryAllowance} from './retry-allowance.js';
import {toServerOutcomeKind} from './server-outcome.js';

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

  /** Cancels all running attempts and prevents new ones. */
  cancelAll(): void {
    this.ended = true;
    for (const attempt of this.running) attempt.cancel();
  }

  /**
   * Runs an idempotent request until a response is usable or the allowance, the
   * deadline or the servers are exhausted. Returns undefined if no server was
   * usable.
   */
  async runIdempotent(): Promise<AttemptResult | undefined> {
    const {retries} = this.options;
    const {service} = this.call.route;
    retries.recordRequest(service);
    const isRetryable = this.forward.body.kind !== 'stream';
    let lastResult: AttemptResult | undefined;
    for (let count = 0; count < MAX_ATTEMPTS; count += 1) {
      if (count > 0 && !retries.tryTake(service)) return lastResult;
      const result = await (isRetryable
        ? this.runHedgedAttempt()
        : this.runSingleAttempt());
      if (result === undefined) return lastResult;
      lastResult = result;
      if (!isRetryable || !isRetryableResult(result) || this.ended)
        return lastResult;
      if (performance.now() >= this.call.deadlineAtMs) return lastResult;
    }
    return lastResult;
  }

  /**
   * Sends a non-idempotent request. Another server is tried only while it is
   * certain that no server received a byte of the request.
   */
  async runOnce(): Promise<DispatchOutcome> {
    for (let count = 0; count < MAX_ATTEMPTS; count += 1) {
      const result = await this.runSingleAttempt();
      if (result === undefined) break;
      if (result.kind === 'buffered') {
        return {kind: 'answered', answer: result.response};
      }
      if (result.kind === 'declined') {
        const retryAfterMs = result.retryAfterMs ?? 1000;
        const reason = 'the backend server declined it';
        return {kind: 'not-run', reason, retryAfterMs};
      }
      if (result.kind !== 'failed' || result.mayHaveRun) {
        return {kind: 'unknown', reason: toFailureReason(result)};
      }
      if (result.cause !== 'connect') break;
    }
    return {kind: 'not-run', reason: 'no server could be reached'};
  }

  private async runSingleAttempt(): Promise<AttemptResult | undefined> {
    return this.startAttempt()?.result;
  }

  /** Runs an attempt and, if it exceeds the hedge delay, a second one elsewhere. */
  private async runHedgedAttempt(): Promise<AttemptResult | undefined> {
    const first = this.startAttempt();
    if (!first) return undefined;
    const {hedgeDelay, retries} = this.options;
    const {service} = this.call.route;
    const isDelayExceeded = await waitExceedsDelay(
      first.result,
      hedgeDelay.delayMs(service),
    );
    if (!isDelayExceeded || this.ended || !retries.tryTake(service))
      return first.result;
    const second = this.startAttempt();
    if (!second) return first.result;
    return firstUsableResult(first, second);
  }

  private startAttempt(): RunningAttempt | undefined {
    const {selector, forwarder, connections} = this.options;
    const {service} = this.call.route;
    if (this.ended) return undefined;
    const selected = selector.select(service, {excluded: this.tried});
    if (selected.err) return undefined;
    const selection = selected.val;
    this.tried.add(selection.server.serverId);
    const attempt = forwarder.startAttempt(
      selection.server,
      connections,
      this.forward,
      this.call.response,
      this.owner,
    );
    this.running.add(attempt);
    return {attempt, result: this.settleAttempt(attempt, selection)};
  }

  private async settleAttempt(
    attempt: Attempt,
    selection: Selection,
  ): Promise<AttemptResult> {
    const startedAtMs = performance.now();
    const result = await attempt.result;
    this.running.delete(attempt);
    const latencyMs = performance.now() - startedAtMs;
    const kind = toServerOutcomeKind(result);
    selection.settle({kind, latencyMs});
    if (kind === 'ok') {
      this.options.hedgeDelay.record(this.call.route.service, latencyMs);
    }
    return result;
  }
}

function waitExceedsDelay(
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

/**
 * Returns the first usable result and cancels the other attempt. If the first
 * result is not usable, returns that of the other attempt.
 */
async function firstUsableResult(
  first: RunningAttempt,
  second: RunningAttempt,
): Promise<AttemptResult> {
  const faster = await Promise.race([
    first.result.then(result => ({result, otherAttempt: second})),
    second.result.then(result => ({result, otherAttempt: first})),
  ]);
  if (isRetryableResult(faster.result)) return faster.otherAttempt.result;
  faster.otherAttempt.attempt.cancel();
  return faster.result;
}

function isRetryableResult(result: AttemptResult): boolean {
  switch (result.kind) {
    case 'buffered':
      return result.response.status >= 500;
    case 'declined':
      return true;
    case 'failed':
      return result.cause !== 'deadline' && result.cause !== 'caller';
    case 'streamed':
    case 'broken':
      return false;
  }
}

function toFailureReason(result: AttemptResult): string {
  return result.kind === 'failed' || result.kind === 'broken'
    ? result.reason
    : 'broken answer';
}
