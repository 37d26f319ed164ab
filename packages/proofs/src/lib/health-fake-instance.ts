/** One instance of a simulated fleet: a selector and the requests it sends. */
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
import {Pausable, PausableNetwork} from './health-pausable.js';
import type {Random} from './health-random.js';
import {snapshotOf} from './health-rotation.js';
import type {RotationSnapshot} from './health-rotation.js';
import type {FixedSource} from './health-source.js';
import type {History} from './history.js';

/**
 * `without-floor` ejects by pooled evidence and ignores the floor; with
 * `random` it is a naive variant that the checkers must catch.
 */
export type SelectorVariant = 'pooled' | 'random' | 'without-floor';

export interface FakeInstanceOptions {
  variant: SelectorVariant;
  network: PeerNetwork;
  membership: Membership;
  source: FixedSource;
  serviceName: string;
  history: History;
  random: Random;
  deadlineMs: number;
  servers: ReadonlyMap<string, FakeServer>;
  /** One-way delay to a server; infinite when the path is cut. */
  pathDelayMs(from: PeerIdentity, server: FakeServer): number;
}

export class FakeInstance {
  readonly pausable: Pausable;
  readonly network: PausableNetwork;
  private readonly selector: ServerSelector;
  private readonly pooled: PooledSelector | undefined;

  private constructor(private readonly options: FakeInstanceOptions) {
    this.pausable = Pausable.create(options.random);
    this.network = PausableNetwork.create(options.network, this.pausable);
    if (options.variant !== 'random') this.pooled = this.createPooled();
    this.selector = this.pooled ?? RandomSelector.create(options.source);
  }

  static create(options: FakeInstanceOptions): FakeInstance {
    return new FakeInstance(options);
  }

  get instanceId(): string {
    return this.network.self.instanceId;
  }

  start(): void {
    this.pooled?.start();
  }

  stop(): void {
    this.pooled?.stop();
  }

  rotation(): RotationSnapshot {
    return snapshotOf(this.selector, this.options.serviceName, [
      ...this.options.servers.values(),
    ]);
  }

  freeSlots(): number {
    return this.pooled?.freeSlots(this.options.serviceName) ?? 0;
  }

  /** Sends one request without retries. */
  send(callerError = false): void {
    this.pausable.arrive(() => this.dispatch(callerError));
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
      answer: kind =>
        void setTimeout(
          () => this.pausable.arrive(() => settle(kind)),
          delayMs,
        ),
    };
    const timer = setTimeout(
      () => this.pausable.arrive(() => settle('fault')),
      this.options.deadlineMs,
    );
    if (delayMs < Infinity) setTimeout(() => server.handle(request), delayMs);
  }

  private createPooled(): PooledSelector {
    const {source, membership, random, servers} = this.options;
    return PooledSelector.create({
      source,
      network: this.network,
      membership,
      logger: createLogger({level: 'error', silent: true}),
      metrics: DisabledMetrics.create(),
      probe: async ({serverId}) => servers.get(serverId)?.health() ?? 'failed',
      scheduler: this.pausable,
      random,
      onTransition: transition => this.recordTransition(transition),
    });
  }

  private recordTransition(transition: HealthTransition): void {
    const {history, serviceName} = this.options;
    const {serverId} = transition;
    history.record(this.instanceId, 'transition', serverId, transition);
    // A change of the configuration can move servers while it is applied.
    if (!this.pooled) return;
    if (transition.to !== 'ejected' && transition.to !== 'avoided') return;
    const snapshot = this.rotation();
    history.record(this.instanceId, 'rotation', serviceName, snapshot);
  }
}
