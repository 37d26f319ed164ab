/** One instance of a simulated fleet: it selects servers and sends requests. */
import {PooledSelector, RandomSelector} from '@fireflytrack/health';
import type {
  HealthTransition,
  Selection,
  ServerOutcome,
  ServerSelector,
} from '@fireflytrack/health';
import type {Membership} from '@fireflytrack/membership';
import {DisabledMetrics, createLogger} from '@fireflytrack/telemetry';
import type {PeerIdentity, PeerNetwork} from '@fireflytrack/wire';
import type {FakeRequest, FakeServer} from './health-fake-server.js';
import {PausableScheduler, PausableNetwork} from './health-pausable.js';
import type {Random} from './health-random.js';
import {takeRotationSnapshot} from './health-rotation.js';
import type {RotationSnapshot} from './health-rotation.js';
import type {MutableServiceSource} from './health-source.js';
import type {History} from './history.js';

/**
 * The selector under test. `random` and `without-floor`, which uses pooled
 * evidence but ignores the capacity floor, are naive variants whose violations
 * the checkers must detect.
 */
export type SelectorVariant = 'pooled' | 'random' | 'without-floor';

export interface FakeInstanceOptions {
  variant: SelectorVariant;
  network: PeerNetwork;
  membership: Membership;
  source: MutableServiceSource;
  serviceName: string;
  history: History;
  random: Random;
  deadlineMs: number;
  servers: ReadonlyMap<string, FakeServer>;
  /** One-way delay in ms to a server; infinite if the path is blocked. */
  pathDelayMs(from: PeerIdentity, server: FakeServer): number;
}

export class FakeInstance {
  readonly scheduler: PausableScheduler;
  readonly network: PausableNetwork;
  private readonly selector: ServerSelector;
  private readonly pooledSelector: PooledSelector | undefined;

  private constructor(private readonly options: FakeInstanceOptions) {
    this.scheduler = PausableScheduler.create(options.random);
    this.network = PausableNetwork.create(options.network, this.scheduler);
    if (options.variant !== 'random')
      this.pooledSelector = this.createPooledSelector();
    this.selector =
      this.pooledSelector ?? RandomSelector.create(options.source);
  }

  static create(options: FakeInstanceOptions): FakeInstance {
    return new FakeInstance(options);
  }

  get instanceId(): string {
    return this.network.self.instanceId;
  }

  start(): void {
    this.pooledSelector?.start();
  }

  stop(): void {
    this.pooledSelector?.stop();
  }

  takeRotationSnapshot(): RotationSnapshot {
    return takeRotationSnapshot(this.selector, this.options.serviceName, [
      ...this.options.servers.values(),
    ]);
  }

  freeSlots(): number {
    return this.pooledSelector?.freeSlots(this.options.serviceName) ?? 0;
  }

  /** Sends one request, without retries. */
  send(callerError = false): void {
    this.scheduler.deliver(() => this.dispatch(callerError));
  }

  private dispatch(callerError: boolean): void {
    const {selector, options} = this;
    const {serviceName, history} = options;
    const selected = selector.select(serviceName, {excluded: new Set()});
    if (selected.err) {
      history.record(this.instanceId, 'no-server', serviceName);
      return;
    }
    const {serverId} = selected.val.server;
    history.record(this.instanceId, 'sent', serverId);
    const server = options.servers.get(serverId);
    if (server) this.forward(server, selected.val, callerError);
    else selected.val.settle({kind: 'fault', latencyMs: 0});
  }

  private forward(
    server: FakeServer,
    selection: Selection,
    callerError: boolean,
  ): void {
    const delayMs = this.options.pathDelayMs(this.network.self, server);
    const startedAtMs = performance.now();
    let settled = false;
    const settle = (kind: ServerOutcome['kind']) => {
      if (settled) return;
      settled = true;
      request.cancelled = true;
      clearTimeout(timer);
      const latencyMs = performance.now() - startedAtMs;
      this.options.history.record(server.serverId, 'answered', kind);
      selection.settle({kind, latencyMs});
    };
    const request: FakeRequest = {
      callerError,
      cancelled: false,
      respond: kind =>
        void setTimeout(
          () => this.scheduler.deliver(() => settle(kind)),
          delayMs,
        ),
    };
    const timer = setTimeout(
      () => this.scheduler.deliver(() => settle('fault')),
      this.options.deadlineMs,
    );
    if (delayMs < Infinity) setTimeout(() => server.handle(request), delayMs);
  }

  private createPooledSelector(): PooledSelector {
    const {source, membership, random, servers} = this.options;
    return PooledSelector.create({
      source,
      network: this.network,
      membership,
      logger: createLogger({level: 'error', silent: true}),
      metrics: DisabledMetrics.create(),
      probe: async ({serverId}) => servers.get(serverId)?.probe() ?? 'failed',
      scheduler: this.scheduler,
      random,
      onTransition: transition => this.recordTransition(transition),
    });
  }

  private recordTransition(transition: HealthTransition): void {
    const {history, serviceName} = this.options;
    const {serverId} = transition;
    history.record(this.instanceId, 'transition', serverId, transition);
    // Creating the selector applies the configuration, which can cause transitions
    // before the selector is assigned.
    if (!this.pooledSelector) return;
    if (transition.to !== 'ejected' && transition.to !== 'avoided') return;
    const snapshot = this.takeRotationSnapshot();
    history.record(this.instanceId, 'rotation', serviceName, snapshot);
  }
}
