/** One process of the fleet: builds the slices and runs them until a stop. */
import {
  ConfigurationChanges,
  ConfigurationDistribution,
  ConfigurationRepository,
  KeyRepository,
} from '@fireflytrack/configuration';
import type {DistributionOptions} from '@fireflytrack/configuration';
import {
  AdminApi,
  EntryGateway,
  Forwarder,
  RequestPath,
} from '@fireflytrack/entry';
import {RandomSelector} from '@fireflytrack/health';
import {StaticShareLimiter} from '@fireflytrack/limits';
import {FixedMembership} from '@fireflytrack/membership';
import {TableOnceRegistry} from '@fireflytrack/once';
import {
  HttpInstanceList,
  HttpObjectStore,
  HttpPlatformClient,
  HttpTableService,
} from '@fireflytrack/platform';
import type {ObjectStore, TableService} from '@fireflytrack/platform';
import {
  DisabledMetrics,
  StateDump,
  StatsdMetrics,
  createLogger,
} from '@fireflytrack/telemetry';
import type {Logger, Metrics} from '@fireflytrack/telemetry';
import {MemoryNetwork} from '@fireflytrack/wire';
import moleculer from 'moleculer';
import type {ServiceBroker} from 'moleculer';
import type {Settings} from './settings.js';

const FLIGHT_CHECK_MS = 20;

export class Daemon {
  private stopping: Promise<void> | undefined;
  private readonly broker: ServiceBroker;
  private readonly client: HttpPlatformClient;
  private readonly configuration: ConfigurationDistribution;
  private readonly forwarder: Forwarder;
  private readonly requestPath: RequestPath;
  private readonly gateway: EntryGateway;
  readonly dump = StateDump.create();
  readonly logger: Logger;
  private readonly metrics: Metrics;

  private constructor(private readonly settings: Settings) {
    const {instance, entry, admin, platform} = settings;
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
    const distribution = distributionOptions(
      settings,
      table,
      HttpObjectStore.create(this.client),
      this.logger,
    );
    this.configuration = ConfigurationDistribution.create(distribution);
    this.forwarder = Forwarder.create();
    this.requestPath = RequestPath.create({
      source: this.configuration,
      keys: this.configuration,
      limiter: StaticShareLimiter.create(this.configuration, 1),
      selector: RandomSelector.create(this.configuration),
      once: TableOnceRegistry.create(table),
      forwarder: this.forwarder,
      logger: this.logger,
      metrics: this.metrics,
    });
    this.broker = new moleculer.ServiceBroker({
      nodeID: instance.id,
      logger: false,
      transporter: null,
      metrics: false,
      tracing: false,
    });
    this.gateway = EntryGateway.create(this.broker, this.requestPath, {
      ...entry,
      mayServe: () => this.configuration.mayServe(),
    });
    AdminApi.create(this.broker, {
      ...admin,
      repository: distribution.repository,
      keys: distribution.keys,
      changes: ConfigurationChanges.create(this.configuration, distribution),
      distribution: this.configuration,
      membership: distribution.membership,
      instances: HttpInstanceList.create(this.client),
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
    await this.configuration.start();
    await this.broker.start();
    this.logger.info('listening', {port: this.settings.entry.port});
  }

  /** Stops without cutting a request, within the configured bound. */
  stop(): Promise<void> {
    this.stopping ??= this.runStop();
    return this.stopping;
  }

  private async runStop(): Promise<void> {
    const {balancer_wait_ms, finish_within_ms} = this.settings.stop;
    this.logger.info('stopping');
    this.gateway.beginStop();
    await sleep(balancer_wait_ms);
    const boundAtMs = performance.now() + finish_within_ms;
    while (this.requestPath.inFlight > 0 && performance.now() < boundAtMs) {
      await sleep(FLIGHT_CHECK_MS);
    }
    this.configuration.stop();
    await this.broker.stop();
    await this.forwarder.close();
    await this.client.close();
    await this.metrics.close();
    this.logger.info('stopped');
  }

  private isReady(): boolean {
    return !this.stopping && this.configuration.mayServe();
  }

  private registerDump(): void {
    this.dump.register('entry', () => ({inFlight: this.requestPath.inFlight}));
    this.dump.register('configuration', () => this.configuration.status());
  }
}

function distributionOptions(
  settings: Settings,
  table: TableService,
  objects: ObjectStore,
  logger: Logger,
): DistributionOptions {
  const {instance, platform, freshness} = settings;
  const identity = {
    instanceId: instance.id,
    availabilityZone: instance.availability_zone,
    region: instance.region,
  };
  return {
    repository: ConfigurationRepository.create(table, objects),
    keys: KeyRepository.create(table),
    // No peers yet: each instance knows of itself only and reads the store.
    network: MemoryNetwork.create().join(identity),
    membership: FixedMembership.create(identity, []),
    evidence: {recordRead: () => undefined, ageMs: () => 0},
    logger,
    storeRegion: platform.store_region,
    freshnessLimitMs: freshness.freshness_limit_ms,
    onIsolation: freshness.on_isolation,
  };
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

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
