/** One instance of the fleet: creates its components and runs them until it stops. */
import {
  ConfigurationChanges,
  ConfigurationDistribution,
  ConfigurationRepository,
  KeyRepository,
} from '@fireflytrack/configuration';
import {
  AdminApi,
  EntryGateway,
  Forwarder,
  RequestPath,
} from '@fireflytrack/entry';
import {PooledSelector, createHttpProbe} from '@fireflytrack/health';
import {BorrowingLimiter, FairQueue} from '@fireflytrack/limits';
import {PeerMembership} from '@fireflytrack/membership';
import {TableOnceRegistry} from '@fireflytrack/once';
import {
  HttpInstanceList,
  HttpObjectStore,
  HttpPlatformClient,
  HttpTableService,
} from '@fireflytrack/platform';
import {
  DisabledMetrics,
  StateDump,
  StatsdMetrics,
  createLogger,
} from '@fireflytrack/telemetry';
import type {Logger, Metrics} from '@fireflytrack/telemetry';
import {TcpPeerNetwork} from '@fireflytrack/wire';
import moleculer from 'moleculer';
import type {ServiceBroker} from 'moleculer';
import {sleep} from '@fireflytrack/time';
import {FreshnessGate} from './freshness-gate.js';
import type {Settings} from './settings.js';

const IN_FLIGHT_CHECK_PERIOD_MS = 20;
// Peers do not report each freed slot immediately, so the queue is rechecked.
const QUEUE_REFRESH_PERIOD_MS = 50;
const GAUGE_PERIOD_MS = 10_000;

export class Daemon {
  readonly dump = StateDump.create();
  readonly logger: Logger;
  private stopping: Promise<void> | undefined;
  private readonly metrics: Metrics;
  private readonly broker: ServiceBroker;
  private readonly client: HttpPlatformClient;
  private readonly network: TcpPeerNetwork;
  private readonly membership: PeerMembership;
  private readonly configuration: ConfigurationDistribution;
  private readonly gate: FreshnessGate;
  private readonly limiter: BorrowingLimiter;
  private readonly selector: PooledSelector;
  private readonly once: TableOnceRegistry;
  private readonly queue: FairQueue;
  private queueTimer: NodeJS.Timeout | undefined;
  private gaugeTimer: NodeJS.Timeout | undefined;
  private readonly forwarder = Forwarder.create();
  private readonly requestPath: RequestPath;
  private readonly gateway: EntryGateway;

  private constructor(private readonly settings: Settings) {
    const {instance, entry, admin, platform, freshness} = settings;
    this.logger = createLogger({
      level: settings.log.level,
      fields: {instance: instance.id, zone: instance.availability_zone},
    });
    this.metrics = createMetrics(settings, this.logger);
    this.client = HttpPlatformClient.create({
      baseUrl: platform.url,
      timeoutMs: platform.timeout_ms,
    });
    const table = HttpTableService.create(this.client);
    const objects = HttpObjectStore.create(this.client);
    this.network = createNetwork(settings, this.logger);
    const instances = HttpInstanceList.create(this.client);
    this.membership = PeerMembership.create({
      network: this.network,
      list: instances,
      storeRegion: platform.store_region,
      logger: this.logger,
    });
    const repository = ConfigurationRepository.create(table, objects);
    const keys = KeyRepository.create(table);
    const distributionOptions = {
      repository,
      keys,
      network: this.network,
      membership: this.membership,
      evidence: this.membership,
      logger: this.logger,
      storeRegion: platform.store_region,
      freshnessLimitMs: freshness.freshness_limit_ms,
      onIsolation: freshness.on_isolation,
    };
    this.configuration = ConfigurationDistribution.create(distributionOptions);
    this.gate = FreshnessGate.create(this.configuration);
    const sharedDependencies = {
      table,
      source: this.configuration,
      network: this.network,
      membership: this.membership,
      logger: this.logger,
      metrics: this.metrics,
    };
    this.limiter = BorrowingLimiter.create(sharedDependencies);
    this.selector = PooledSelector.create({
      ...sharedDependencies,
      probe: createHttpProbe(),
    });
    this.once = TableOnceRegistry.create(sharedDependencies);
    this.queue = FairQueue.create({
      slotsOf: service => this.selector.inFlightLimit(service),
    });
    this.requestPath = RequestPath.create({
      ...sharedDependencies,
      keys: this.configuration,
      limiter: this.limiter,
      selector: this.selector,
      queue: this.queue,
      retries: this.selector.retryBudget,
      gate: this.gate,
      once: this.once,
      forwarder: this.forwarder,
    });
    this.broker = createBroker(instance.id);
    this.gateway = EntryGateway.create(this.broker, this.requestPath, entry);
    AdminApi.create(this.broker, {
      ...admin,
      repository,
      keys,
      changes: ConfigurationChanges.create(
        this.configuration,
        distributionOptions,
      ),
      distribution: this.configuration,
      membership: this.membership,
      instances,
      dump: this.dump,
      isReady: () => this.isReady(),
      drain: () => void this.stop(),
    });
    this.registerDump();
  }

  static create(settings: Settings): Daemon {
    return new Daemon(settings);
  }

  async start(): Promise<void> {
    await this.network.start();
    await this.membership.start();
    await this.configuration.start();
    this.limiter.start();
    this.selector.start();
    this.once.start();
    this.queueTimer = setInterval(
      () => this.queue.dispatchWaiting(),
      QUEUE_REFRESH_PERIOD_MS,
    );
    this.gaugeTimer = setInterval(() => this.reportGauges(), GAUGE_PERIOD_MS);
    await this.broker.start();
    this.logger.info('listening', {port: this.settings.entry.port});
  }

  /**
   * Stops after the requests in flight have ended, or after the configured
   * timeout. Later calls return the same promise.
   */
  stop(): Promise<void> {
    this.stopping ??= this.shutDown();
    return this.stopping;
  }

  private async shutDown(): Promise<void> {
    const {balancer_wait_ms, finish_within_ms} = this.settings.stop;
    this.logger.info('stopping');
    this.membership.announceLeaving();
    this.gateway.beginStop();
    await sleep(balancer_wait_ms);
    await this.waitForRequestsInFlight(finish_within_ms);
    await this.broker.stop();
    clearInterval(this.queueTimer);
    clearInterval(this.gaugeTimer);
    this.selector.stop();
    await this.once.stop();
    await this.limiter.stop();
    this.configuration.stop();
    await this.forwarder.close();
    await this.membership.stop();
    await this.network.stop();
    await this.client.close();
    await this.metrics.close();
    this.logger.info('stopped');
  }

  private async waitForRequestsInFlight(timeoutMs: number): Promise<void> {
    const giveUpAtMs = performance.now() + timeoutMs;
    while (this.requestPath.requestsInFlight > 0) {
      if (performance.now() >= giveUpAtMs) {
        const count = this.requestPath.requestsInFlight;
        this.logger.warn('requests cut at the bound of the stop', {count});
        this.gate.close();
        this.requestPath.cancelAll();
        await sleep(IN_FLIGHT_CHECK_PERIOD_MS);
        return;
      }
      await sleep(IN_FLIGHT_CHECK_PERIOD_MS);
    }
  }

  private reportGauges(): void {
    const {metrics, configuration, membership} = this;
    metrics.gauge('requests_in_flight', this.requestPath.requestsInFlight);
    metrics.gauge(
      'configuration_version',
      configuration.current()?.version ?? 0,
    );
    metrics.gauge('peers', membership.liveIds().length - 1);
    const ageMs = configuration.ageMs();
    if (Number.isFinite(ageMs)) metrics.gauge('freshness_age_ms', ageMs);
  }

  private isReady(): boolean {
    return !this.stopping && this.gate.state() === 'serving';
  }

  private registerDump(): void {
    this.dump.register('entry', () => ({
      requestsInFlight: this.requestPath.requestsInFlight,
      serving: this.gate.state(),
    }));
    this.dump.register('configuration', () => this.configuration.status());
    this.dump.register('membership', () => this.membership.state());
    this.dump.register('limits', () => this.limiter.state());
    this.dump.register('queue', () => this.queue.state());
    this.dump.register('health', () => this.selector.state());
    this.dump.register('once', () => this.once.state());
    this.dump.register('wire', () => ({
      peers: this.network.peers(),
      droppedFrames: this.network.droppedFrames,
    }));
  }
}

function createBroker(nodeID: string): ServiceBroker {
  return new moleculer.ServiceBroker({
    nodeID,
    logger: false,
    transporter: null,
    // moleculer's own signal handlers would stop the broker immediately and
    // abort the requests in flight.
    skipProcessEventRegistration: true,
    metrics: false,
    tracing: false,
  });
}

function createNetwork(settings: Settings, logger: Logger): TcpPeerNetwork {
  const {instance, peer} = settings;
  return TcpPeerNetwork.create({
    self: {
      instanceId: instance.id,
      availabilityZone: instance.availability_zone,
      region: instance.region,
    },
    host: peer.host,
    port: peer.port,
    fleetSecret: peer.fleet_secret,
    logger,
  });
}

function createMetrics(settings: Settings, logger: Logger): Metrics {
  const {statsd_host, statsd_port} = settings.metrics;
  if (statsd_host === undefined) return DisabledMetrics.create();
  return StatsdMetrics.create({
    host: statsd_host,
    port: statsd_port,
    tags: {instance: settings.instance.id},
    onError: error => logger.warn('metrics', {message: error.message}),
  });
}
