/** A backend server that records each execution and fails as planned. */
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

/** What the history says of one execution. */
export interface Execution {
  callId: string;
  key: string;
  digest: string;
  /** The whole answer. */
  body: string;
}

const WAY_MS = 3;

export class OnceBackend {
  private dispatches = 0;
  private executions = 0;

  constructor(
    private readonly history: History,
    private readonly behaviors: readonly BackendBehavior[],
  ) {}

  /**
   * One dispatch, as the forwarder of an instance carries it out. It sends
   * even after the deadline, so the registry must not start it too late.
   */
  async dispatch(
    call: DispatchedCall,
    gate: InstanceGate,
  ): Promise<DispatchOutcome> {
    await gate.pass();
    const remainingMs = Math.max(0, call.deadlineAtMs - performance.now());
    const behavior = this.behaviors[this.dispatches % this.behaviors.length]!;
    this.dispatches += 1;
    const late: DispatchOutcome = {kind: 'unknown', reason: 'no answer'};
    const outcome = await Promise.race([
      this.serve(call, behavior),
      sleep(remainingMs).then(() => late),
    ]);
    await gate.pass();
    return outcome;
  }

  private async serve(
    call: DispatchedCall,
    behavior: BackendBehavior,
  ): Promise<DispatchOutcome> {
    const {kind, runMs, answerBytes} = behavior;
    if (kind === 'unreachable') return {kind: 'not-run', reason: 'refused'};
    await sleep(WAY_MS);
    if (kind === 'decline') return {kind: 'not-run', reason: 'declined'};
    await sleep(runMs);
    if (kind === 'crash-before') return {kind: 'unknown', reason: 'reset'};
    const body = this.execute(call, answerBytes);
    await sleep(WAY_MS);
    if (kind === 'crash-after') return {kind: 'unknown', reason: 'reset'};
    const answer = {status: 200, headers: {}, body: Buffer.from(body)};
    return {kind: 'answered', answer};
  }

  private execute(call: DispatchedCall, answerBytes: number): string {
    this.executions += 1;
    const {callId, key, digest} = call;
    const body = `${key} ${this.executions} `.padEnd(answerBytes, '.');
    const execution: Execution = {callId, key, digest, body};
    this.history.record('backend', 'execute', key, execution);
    return body;
  }
}
