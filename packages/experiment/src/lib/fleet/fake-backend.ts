/**
 * A backend server on the paused clock: slots with a bounded queue, the cost
 * of new connections, a cold start, draining and gray faults.
 */
import type {BackendServer} from '@fireflytrack/configuration';
import type {ProbeResult, ServerOutcome} from '@fireflytrack/health';
import type {Random} from '../random.js';
import {CONNECTION_COST_MS, PROBE_COST_MS} from './deployment.js';

export interface FakeBackendOptions {
  slots: number;
  meanServiceMs: number;
  random: Random;
}

export interface BackendResult {
  kind: ServerOutcome['kind'];
  /** Work of the request at a healthy, warm server. */
  nominalMs: number;
}

interface Call {
  instanceId: string;
  done: (answer: BackendResult) => void;
  cancelled: boolean;
}

// As the stand-in: a request that waits behind this many is shed.
const MAX_QUEUED_PER_SLOT = 8;
const COLD_FACTOR = 3;

export class FakeBackend {
  slowFactor = 1;
  wrongRatio = 0;
  errorRatio = 0;
  draining = false;
  coldUntilMs = 0;
  /** Whether a scenario ever made it faulty; others must not be ejected. */
  hasBeenFaulty = false;
  private slotsInUse = 0;
  private readonly queue: Call[] = [];
  private readonly connections = new Map<string, number>();
  private readonly outstanding = new Map<string, number>();

  private constructor(
    readonly server: BackendServer,
    readonly serviceName: string,
    private readonly options: FakeBackendOptions,
  ) {}

  static create(
    server: BackendServer,
    serviceName: string,
    options: FakeBackendOptions,
  ): FakeBackend {
    return new FakeBackend(server, serviceName, options);
  }

  /** Runs one request; `done` is called once unless the call is cancelled. */
  call(instanceId: string, done: (answer: BackendResult) => void): () => void {
    const call: Call = {instanceId, done, cancelled: false};
    if (this.draining) {
      done({kind: 'draining', nominalMs: 0});
    } else if (this.slotsInUse < this.options.slots) {
      this.start(call);
    } else if (this.queue.length >= this.options.slots * MAX_QUEUED_PER_SLOT) {
      done({kind: 'shed', nominalMs: 0});
    } else {
      this.queue.push(call);
    }
    return () => (call.cancelled = true);
  }

  /** The health answer, which does not show gray faults. */
  async probe(): Promise<ProbeResult> {
    await new Promise(resolve => setTimeout(resolve, PROBE_COST_MS));
    if (this.draining) return 'draining';
    return performance.now() < this.coldUntilMs ? 'cold' : 'up';
  }

  private start(call: Call): void {
    this.slotsInUse += 1;
    const {random, meanServiceMs} = this.options;
    const nominalMs = meanServiceMs * (0.5 + random());
    const cold = performance.now() < this.coldUntilMs ? COLD_FACTOR : 1;
    const workMs = nominalMs * this.slowFactor * cold;
    const durationMs = Math.round(workMs) + this.openConnectionIfNeeded(call.instanceId);
    setTimeout(() => this.finish(call, nominalMs), durationMs);
  }

  private finish(call: Call, nominalMs: number): void {
    this.slotsInUse -= 1;
    const open = this.outstanding.get(call.instanceId) ?? 1;
    this.outstanding.set(call.instanceId, open - 1);
    if (!call.cancelled) call.done({kind: this.outcome(), nominalMs});
    let next = this.queue.shift();
    while (next?.cancelled) next = this.queue.shift();
    if (next) this.start(next);
  }

  private outcome(): ServerOutcome['kind'] {
    const point = this.options.random();
    if (point < this.wrongRatio) return 'invalid';
    return point < this.wrongRatio + this.errorRatio ? 'fault' : 'ok';
  }

  /** Cost of opening another connection for this instance, if it needs one. */
  private openConnectionIfNeeded(instanceId: string): number {
    const used = (this.outstanding.get(instanceId) ?? 0) + 1;
    this.outstanding.set(instanceId, used);
    const open = this.connections.get(instanceId) ?? 0;
    if (used <= open) return 0;
    this.connections.set(instanceId, used);
    return CONNECTION_COST_MS;
  }
}
