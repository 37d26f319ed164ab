/**
 * Runs a plan against a fleet of registries on simulated time and returns the
 * history of the calls and executions.
 */
import {FixedMembership} from '@fireflytrack/membership';
import type {OnceRegistry, TableOnceRegistryOptions} from '@fireflytrack/once';
import {MemoryTable} from '@fireflytrack/platform';
import {createLogger} from '@fireflytrack/telemetry';
import {MemoryNetwork} from '@fireflytrack/wire';
import {History} from './history.js';
import {OnceBackend} from './once-backend.js';
import {withSimulatedTime} from './once-clock.js';
import {FaultyTable} from './once-faulty-table.js';
import {InstanceGate, gatedNetwork} from './once-instance-gate.js';
import {INSTANCE_COUNT, KEY_COUNT} from './once-plan.js';
import type {OncePlan, PlannedCall, PlannedFault} from './once-plan.js';

export interface RunningRegistry extends OnceRegistry {
  start(): void;
  stop(): Promise<void>;
}

export type RegistryFactory = (
  options: TableOnceRegistryOptions,
) => RunningRegistry;

export interface OnceFleetOptions {
  createRegistry: RegistryFactory;
  /** Naive variant: a planned stop does not wait for the calls in flight. */
  stopImmediately?: boolean;
}

/** Input of a `call` operation in the history. */
export interface CallInput {
  key: string;
  digest: string;
  instanceId: string;
}

/** Output of a `call` operation in the history. */
export type CallOutput = {kind: 'answer'; body: string} | {kind: string};

interface FleetInstance {
  id: string;
  gate: InstanceGate;
  registry: RunningRegistry;
  callsInFlight: number;
  stopping: boolean;
  /** A planned stop closes the listener once no call is in flight. */
  listening: boolean;
}

const LINK_DELAY_MS = 4;
const SLOW_LINK_DELAY_MS = 700;
const STOP_POLL_MS = 20;
/** Time after the last call in which pauses, late writes and repairs end. */
const DRAIN_MS = 60_000;
const FINAL_RETRY_DEADLINE_MS = 5000;

const logger = createLogger({level: 'error', silent: true});

class OnceFleet {
  private readonly history = History.create();
  private readonly table = MemoryTable.create();
  private readonly network: MemoryNetwork;
  private readonly backend: OnceBackend;
  private readonly instances: FleetInstance[];
  private activeFaults: PlannedFault[] = [];
  private callCount = 0;

  constructor(
    private readonly plan: OncePlan,
    private readonly options: OnceFleetOptions,
  ) {
    this.backend = new OnceBackend(this.history, plan.behaviors);
    this.network = MemoryNetwork.create({
      delayMs: from => this.linkDelayMs(from.instanceId),
    });
    const indexes = Array.from({length: INSTANCE_COUNT}, (_, index) => index);
    this.instances = indexes.map(index => this.startInstance(index));
  }

  async run(advance: (durationMs: number) => Promise<void>): Promise<History> {
    const {calls, faults} = this.plan;
    for (const call of calls) {
      setTimeout(() => void this.sendCall(call), call.atMs);
    }
    for (const fault of faults) this.scheduleFault(fault);
    const lastMs = Math.max(...calls.map(call => call.atMs));
    await advance(lastMs + DRAIN_MS);
    this.retryEveryKey();
    await advance(FINAL_RETRY_DEADLINE_MS + DRAIN_MS);
    return this.history;
  }

  private startInstance(index: number): FleetInstance {
    const id = `i${index}`;
    const identity = {instanceId: id, availabilityZone: 'z', region: 'r'};
    const gate = new InstanceGate();
    const fault = () => this.findTableFault(index);
    const registry = this.options.createRegistry({
      table: new FaultyTable(this.table, gate, fault),
      network: gatedNetwork(this.network.join(identity), gate),
      membership: FixedMembership.create(identity, []),
      logger,
    });
    registry.start();
    const flags = {stopping: false, listening: true};
    return {id, gate, registry, callsInFlight: 0, ...flags};
  }

  /** Retries every key through a new instance once all faults have ended. */
  private retryEveryKey(): void {
    this.activeFaults = [];
    this.instances.push(this.startInstance(INSTANCE_COUNT));
    const deadlineMs = FINAL_RETRY_DEADLINE_MS;
    for (let key = 0; key < KEY_COUNT; key += 1) {
      const common = {atMs: 0, instance: INSTANCE_COUNT};
      void this.sendCall({...common, key, variant: 0, deadlineMs});
    }
  }

  private async sendCall(planned: PlannedCall): Promise<void> {
    const instance = this.instances[planned.instance]!;
    const callId = `call-${(this.callCount += 1)}`;
    const key = `key-${planned.key}`;
    const digest = `${key}-${planned.variant}`;
    const input: CallInput = {key, digest, instanceId: instance.id};
    const finish = this.history.startOperation('caller', 'call', callId, input);
    const {gate, listening} = instance;
    if (gate.isDead() || !listening) {
      return finish({kind: 'connection-refused'});
    }
    const connectionLost = {kind: 'connection-lost'};
    const output = await Promise.race([
      this.handleCall(instance, callId, input, planned.deadlineMs),
      gate.killed.then((): CallOutput => connectionLost),
    ]);
    finish(output);
  }

  /** Handles a call as the request path of an instance does. */
  private async handleCall(
    instance: FleetInstance,
    callId: string,
    input: CallInput,
    deadlineMs: number,
  ): Promise<CallOutput> {
    instance.callsInFlight += 1;
    await instance.gate.waitUntilRunning();
    const output: CallOutput = instance.stopping
      ? {kind: 'not-run'}
      : await this.runOnce(instance, callId, input, deadlineMs);
    await instance.gate.waitUntilRunning();
    instance.callsInFlight -= 1;
    return output;
  }

  private async runOnce(
    {gate, registry}: FleetInstance,
    callId: string,
    {key, digest}: CallInput,
    deadlineMs: number,
  ): Promise<CallOutput> {
    const deadlineAtMs = performance.now() + deadlineMs;
    const call = {callId, key, digest, deadlineAtMs};
    const result = await registry.run(
      {teamName: 't', idempotencyKey: key, requestDigest: digest, deadlineMs},
      () => this.backend.dispatch(call, gate),
    );
    if (result.err) return {kind: result.val.kind};
    return {kind: 'answer', body: Buffer.from(result.val.body).toString()};
  }

  private scheduleFault(fault: PlannedFault): void {
    const {calls} = this.plan;
    const startMs = calls[fault.call % calls.length]!.atMs + fault.offsetMs;
    setTimeout(() => this.startFault(fault), startMs);
    setTimeout(() => this.endFault(fault), startMs + fault.durationMs);
  }

  private startFault(fault: PlannedFault): void {
    const instance = this.instances[fault.instance]!;
    const peer = this.instances[fault.peer]!;
    this.activeFaults.push(fault);
    if (fault.kind === 'pause') instance.gate.pause(fault.durationMs);
    if (fault.kind === 'crash') this.crashInstance(instance);
    if (fault.kind === 'stop') void this.stopInstance(instance);
    if (fault.kind === 'cut') this.network.cut(instance.id, peer.id);
  }

  private endFault(fault: PlannedFault): void {
    this.activeFaults = this.activeFaults.filter(active => active !== fault);
    if (fault.kind !== 'cut') return;
    const {instance, peer} = fault;
    this.network.heal(this.instances[instance]!.id, this.instances[peer]!.id);
  }

  private crashInstance(instance: FleetInstance): void {
    if (instance.gate.isDead()) return;
    this.history.record(instance.id, 'crash', instance.id);
    instance.gate.kill();
    this.network.leave(instance.id);
  }

  /** A planned stop: calls in flight finish before the process ends. */
  private async stopInstance(instance: FleetInstance): Promise<void> {
    await instance.gate.waitUntilRunning();
    if (instance.stopping) return;
    instance.stopping = true;
    while (instance.callsInFlight > 0 && !this.options.stopImmediately) {
      await new Promise(resolve => setTimeout(resolve, STOP_POLL_MS));
    }
    instance.listening = false;
    await instance.registry.stop();
    await instance.gate.waitUntilRunning();
    instance.gate.kill();
    this.network.leave(instance.id);
  }

  private findTableFault(instance: number): PlannedFault | undefined {
    return this.activeFaults.find(
      fault =>
        fault.kind.startsWith('table-') &&
        (fault.everywhere || fault.instance === instance),
    );
  }

  private linkDelayMs(from: string): number {
    const slow = this.activeFaults.some(
      fault => fault.kind === 'slow-link' && `i${fault.instance}` === from,
    );
    return slow ? SLOW_LINK_DELAY_MS : LINK_DELAY_MS;
  }
}

/** Runs one plan to its end and returns its history. */
export function runOncePlan(
  plan: OncePlan,
  options: OnceFleetOptions,
): Promise<History> {
  return withSimulatedTime(advance =>
    new OnceFleet(plan, options).run(advance),
  );
}
