/** A simulated backend server that records executions and fails as planned. */
import type {DispatchOutcome} from '@fireflytrack/once';
import {sleep} from '@fireflytrack/time';
import type {History} from './history.js';
import type {InstanceGate} from './once-instance-gate.js';
import type {BackendBehavior} from './once-plan.js';

export interface DispatchedCall {
  callId: string;
  key: string;
  digest: string;
  deadlineAtMs: number;
}

/** Value of an `execute` event in the history. */
export interface Execution {
  callId: string;
  key: string;
  digest: string;
  /** The complete response body. */
  body: string;
}

const ONE_WAY_LATENCY_MS = 3;

export class OnceBackend {
  private dispatchCount = 0;
  private executionCount = 0;

  constructor(
    private readonly history: History,
    private readonly behaviors: readonly BackendBehavior[],
  ) {}

  /**
   * Carries out one dispatch as the forwarder of an instance does. It sends
   * the call even after the deadline: not starting a dispatch too late is the
   * registry's task.
   */
  async dispatch(
    call: DispatchedCall,
    gate: InstanceGate,
  ): Promise<DispatchOutcome> {
    await gate.waitUntilRunning();
    const remainingMs = Math.max(0, call.deadlineAtMs - performance.now());
    const behavior =
      this.behaviors[this.dispatchCount % this.behaviors.length]!;
    this.dispatchCount += 1;
    const timedOut: DispatchOutcome = {kind: 'unknown', reason: 'no response'};
    const outcome = await Promise.race([
      this.handleCall(call, behavior),
      sleep(remainingMs).then(() => timedOut),
    ]);
    await gate.waitUntilRunning();
    return outcome;
  }

  private async handleCall(
    call: DispatchedCall,
    behavior: BackendBehavior,
  ): Promise<DispatchOutcome> {
    const {kind, runMs, answerBytes} = behavior;
    if (kind === 'unreachable') return {kind: 'not-run', reason: 'refused'};
    await sleep(ONE_WAY_LATENCY_MS);
    if (kind === 'decline') return {kind: 'not-run', reason: 'declined'};
    await sleep(runMs);
    if (kind === 'crash-before') return {kind: 'unknown', reason: 'reset'};
    const body = this.execute(call, answerBytes);
    await sleep(ONE_WAY_LATENCY_MS);
    if (kind === 'crash-after') return {kind: 'unknown', reason: 'reset'};
    const answer = {status: 200, headers: {}, body: Buffer.from(body)};
    return {kind: 'answered', answer};
  }

  private execute(call: DispatchedCall, answerBytes: number): string {
    this.executionCount += 1;
    const {callId, key, digest} = call;
    const body = `${key} ${this.executionCount} `.padEnd(answerBytes, '.');
    const execution: Execution = {callId, key, digest, body};
    this.history.record('backend', 'execute', key, execution);
    return body;
  }
}
