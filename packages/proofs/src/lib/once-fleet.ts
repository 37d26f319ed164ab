/**
 * Runs a plan against a fleet of registries on simulated time and returns the
 * history of its calls and executions.
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
import {INSTANCES, KEYS} from './once-plan.js';
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
  /** Naive: a planned stop ends the process without waiting for its calls. */
  stopAtOnce?: boolean;
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
  /** A planned stop closes the listener when no call is in flight. */
  listening: boolean;
}

const LINK_DELAY_MS = 4;
const SLOW_LINK_DELAY_MS = 700;
const STOP_POLL_MS = 20;
/** Time after the last call for pauses, late writes and repairs to end. */
const DRAIN_MS = 60_000;
const AUDIT_DEADLINE_MS = 5000;

const logger = createLogger({level: 'error', silent: true});

class OnceFleet {
  private readonly history = History.create();
  private readonly table = MemoryTable.create();
  private readonly network: MemoryNetwork;
  private readonly backend: OnceBackend;
  private readonly instances: FleetInstance[];
  private activeFaults: PlannedFault[] = [];
  private lastCall = 0;

  constructor(
    private readonly plan: OncePlan,
    private readonly options: OnceFleetOptions,
  ) {
    this.backend = new OnceBackend(this.history, plan.behaviors);
    this.network = MemoryNetwork.create({
      delayMs: from => this.linkDelayMs(from.instanceId),
    });
    const indexes = Array.from({length: INSTANCES}, (_, index) => index);
    this.instances = indexes.map(index => this.startInstance(index));
  }

  async run(advance: (durationMs: number) => Promise<void>): Promise<History> {
    const {calls, faults} = this.plan;
    for (const call of calls) {
      setTimeout(() => void this.call(call), call.atMs);
    }
    for (const fault of faults) this.schedule(fault);
    const lastMs = Math.max(...calls.map(call => call.atMs));
    await advance(lastMs + DRAIN_MS);
    this.audit();
    await advance(AUDIT_DEADLINE_MS + DRAIN_MS);
    return this.history;
  }

  private startInstance(index: number): FleetInstance {
    const id = `i${index}`;
    const identity = {instanceId: id, availabilityZone: 'z', region: 'r'};
    const gate = new InstanceGate();
    const fault = () => this.tableFault(index);
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

  /** Repeats every key through a new instance after all faults ended. */
  private audit(): void {
    this.activeFaults = [];
    this.instances.push(this.startInstance(INSTANCES));
    const deadlineMs = AUDIT_DEADLINE_MS;
    for (let key = 0; key < KEYS; key += 1) {
      const place = {atMs: 0, instance: INSTANCES};
      void this.call({...place, key, variant: 0, deadlineMs});
    }
  }

  private async call(planned: PlannedCall): Promise<void> {
    const instance = this.instances[planned.instance]!;
    const callId = `call-${(this.lastCall += 1)}`;
    const key = `key-${planned.key}`;
    const digest = `${key}-${planned.variant}`;
    const input: CallInput = {key, digest, instanceId: instance.id};
    const returned = this.history.invoke('caller', 'call', callId, input);
    const {gate, listening} = instance;
    if (gate.isDead() || !listening) {
      return returned({kind: 'connection-refused'});
    }
    const lost = {kind: 'connection-lost'};
    const output = await Promise.race([
      this.serve(instance, callId, input, planned.deadlineMs),
      gate.killed.then((): CallOutput => lost),
    ]);
    returned(output);
  }

  /** One request as the instance's request path handles it. */
  private async serve(
    instance: FleetInstance,
    callId: string,
    input: CallInput,
    deadlineMs: number,
  ): Promise<CallOutput> {
    instance.callsInFlight += 1;
    await instance.gate.pass();
    const output: CallOutput = instance.stopping
      ? {kind: 'not-run'}
      : await this.runOnce(instance, callId, input, deadlineMs);
    await instance.gate.pass();
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

  private schedule(fault: PlannedFault): void {
    const {calls} = this.plan;
    const startMs = calls[fault.call % calls.length]!.atMs + fault.offsetMs;
    setTimeout(() => this.begin(fault), startMs);
    setTimeout(() => this.end(fault), startMs + fault.durationMs);
  }

  private begin(fault: PlannedFault): void {
    const instance = this.instances[fault.instance]!;
    const peer = this.instances[fault.peer]!;
    this.activeFaults.push(fault);
    if (fault.kind === 'pause') instance.gate.pause(fault.durationMs);
    if (fault.kind === 'crash') this.kill(instance);
    if (fault.kind === 'stop') void this.stop(instance);
    if (fault.kind === 'cut') this.network.cut(instance.id, peer.id);
  }

  private end(fault: PlannedFault): void {
    this.activeFaults = this.activeFaults.filter(active => active !== fault);
    if (fault.kind !== 'cut') return;
    const {instance, peer} = fault;
    this.network.heal(this.instances[instance]!.id, this.instances[peer]!.id);
  }

  private kill(instance: FleetInstance): void {
    if (instance.gate.isDead()) return;
    this.history.record(instance.id, 'crash', instance.id);
    instance.gate.kill();
    this.network.leave(instance.id);
  }

  /** A planned stop: requests in flight finish before the process ends. */
  private async stop(instance: FleetInstance): Promise<void> {
    await instance.gate.pass();
    if (instance.stopping) return;
    instance.stopping = true;
    while (instance.callsInFlight > 0 && !this.options.stopAtOnce) {
      await new Promise(resolve => setTimeout(resolve, STOP_POLL_MS));
    }
    instance.listening = false;
    await instance.registry.stop();
    await instance.gate.pass();
    instance.gate.kill();
    this.network.leave(instance.id);
  }

  private tableFault(instance: number): PlannedFault | undefined {
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

/** Runs one plan from start to end. */
export function runOncePlan(
  plan: OncePlan,
  options: OnceFleetOptions,
): Promise<History> {
  return withSimulatedTime(advance =>
    new OnceFleet(plan, options).run(advance),
  );
}
