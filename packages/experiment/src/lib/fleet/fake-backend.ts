/**
 * A simulated backend server on the paused clock. It has slots with a bounded
 * queue, connection setup cost, cold start, draining and gray faults.
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
  /** Service time of the request on a healthy, warm server. */
  nominalMs: number;
}

interface Call {
  instanceId: string;
  onResult: (result: BackendResult) => void;
  cancelled: boolean;
}

// As in the HTTP stand-in, a request is shed when this many requests per slot
// are queued already.
const MAX_QUEUED_PER_SLOT = 8;
const COLD_FACTOR = 3;

export class FakeBackend {
  slowFactor = 1;
  wrongRatio = 0;
  errorRatio = 0;
  draining = false;
  coldUntilMs = 0;
  /** Whether a scenario injected a fault; other servers must not be ejected. */
  hasBeenFaulty = false;
  private slotsInUse = 0;
  private readonly queue: Call[] = [];
  private readonly openConnections = new Map<string, number>();
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

  /**
   * Starts one request. Calls `onResult` once unless the request is cancelled
   * by the returned function.
   */
  call(
    instanceId: string,
    onResult: (result: BackendResult) => void,
  ): () => void {
    const call: Call = {instanceId, onResult, cancelled: false};
    if (this.draining) {
      onResult({kind: 'draining', nominalMs: 0});
    } else if (this.slotsInUse < this.options.slots) {
      this.start(call);
    } else if (this.queue.length >= this.options.slots * MAX_QUEUED_PER_SLOT) {
      onResult({kind: 'shed', nominalMs: 0});
    } else {
      this.queue.push(call);
    }
    return () => (call.cancelled = true);
  }

  /** Result of a health probe, which doesn't reveal gray faults. */
  async probe(): Promise<ProbeResult> {
    await new Promise(resolve => setTimeout(resolve, PROBE_COST_MS));
    if (this.draining) return 'draining';
    return performance.now() < this.coldUntilMs ? 'cold' : 'up';
  }

  private start(call: Call): void {
    this.slotsInUse += 1;
    const {random, meanServiceMs} = this.options;
    const nominalMs = meanServiceMs * (0.5 + random());
    const coldFactor = performance.now() < this.coldUntilMs ? COLD_FACTOR : 1;
    const workMs = nominalMs * this.slowFactor * coldFactor;
    const durationMs =
      Math.round(workMs) + this.openConnectionIfNeeded(call.instanceId);
    setTimeout(() => this.finish(call, nominalMs), durationMs);
  }

  private finish(call: Call, nominalMs: number): void {
    this.slotsInUse -= 1;
    const outstanding = this.outstanding.get(call.instanceId) ?? 1;
    this.outstanding.set(call.instanceId, outstanding - 1);
    if (!call.cancelled) call.onResult({kind: this.sampleOutcome(), nominalMs});
    let next = this.queue.shift();
    while (next?.cancelled) next = this.queue.shift();
    if (next) this.start(next);
  }

  private sampleOutcome(): ServerOutcome['kind'] {
    const sample = this.options.random();
    if (sample < this.wrongRatio) return 'invalid';
    return sample < this.wrongRatio + this.errorRatio ? 'fault' : 'ok';
  }

  /**
   * Counts a request of this instance and opens a connection if all of its
   * connections are busy; returns the setup cost in milliseconds.
   */
  private openConnectionIfNeeded(instanceId: string): number {
    const needed = (this.outstanding.get(instanceId) ?? 0) + 1;
    this.outstanding.set(instanceId, needed);
    const open = this.openConnections.get(instanceId) ?? 0;
    if (needed <= open) return 0;
    this.openConnections.set(instanceId, needed);
    return CONNECTION_COST_MS;
  }
}
