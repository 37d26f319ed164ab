/** One gateway process: builds its components and runs them until stopped. */
import {CallerConnections} from '@fireflytrack/callers';
import {ServerCatalog, discoveredServerSchema} from '@fireflytrack/discovery';
import type {ChangeFeed, DiscoveredServer} from '@fireflytrack/discovery';
import type {TableService} from '@fireflytrack/platform';
import type {TrafficPolicy} from '@fireflytrack/policy';
import {RateLimitedLog, StateDump} from '@fireflytrack/telemetry';
import type {Logger} from '@fireflytrack/telemetry';
import {CrashSuspects, KnownLimits, Upstream} from '@fireflytrack/upstream';
import {CrashExchange, SharedFeed, ZoneMember} from '@fireflytrack/zone';
import type {FeedObservation} from '@fireflytrack/zone';
import {randomUUID} from 'node:crypto';
import moleculer from 'moleculer';
import type {ServiceBroker} from 'moleculer';
import {CallerServer} from './caller-server.js';
import {BodyMemory} from './body-memory.js';
import {
  chooseBodyMemoryBytes,
  chooseFeedTimings,
  chooseStartDelayMs,
  toHeaderNames,
} from './derived-settings.js';
import {GracefulStop} from './graceful-stop.js';
import {RequestHandler} from './request-handler.js';
import type {GatewaySettings} from './gateway-settings.js';
import {InstanceEstimate} from './instance-estimate.js';
import {PolicyHolder} from './policy-holder.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {StatusServer} from './status-server.js';

/** External data sources of the process. */
export interface GatewaySources {
  policyFeed: ChangeFeed<TrafficPolicy>;
  /** Direct reads of the policy, on a separate connection. */
  policyReader: ChangeFeed<TrafficPolicy>;
  serverFeed: ChangeFeed<DiscoveredServer>;
  /** Table with the rows by which the instances discover each other. */
  fleetTable: TableService;
  /** Calls to the store since the start, by caller. */
  storeCalls(): ReadonlyMap<string, number>;
}

// Longest wait of the first read of a feed for a leader, at the first start of the
// fleet. Later starts read the store at once, since callers are waiting.
const LEADER_WAIT_MS = 600;
// Keys are refused this long before `revocation_ms` is reached, to allow for
// differing clock rates.
const REVOCATION_MARGIN_MS = 500;
// Share of `policy_apply_ms` after which an unknown route or key needs a new
// confirmation of the policy before the request is denied.
const DENIAL_FRESHNESS_SHARE = 0.9;
const MS_PER_SECOND = 1000;

export class GatewayProcess {
  readonly dump = StateDump.create();
  private readonly log: RateLimitedLog;
  private readonly policies: PolicyHolder;
  private readonly catalog: ServerCatalog;
  private readonly serverFeed: SharedFeed<DiscoveredServer>;
  private readonly upstream: Upstream;
  private readonly limits: KnownLimits;
  private readonly instances: InstanceEstimate;
  private readonly bodyMemory: BodyMemory;
  private readonly zone: ZoneMember;
  private readonly requestHandler: RequestHandler;
  private readonly broker: ServiceBroker;
  private readonly connections = CallerConnections.create();
  private readonly callerServer: CallerServer;
  private readonly readyServer: StatusServer;
  private readonly metrics: GatewayMetrics;
  private readonly metricsServer: StatusServer | undefined;
  private stopping: Promise<void> | undefined;
  /** Resolves with the reason when the process cannot join the fleet. */
  readonly joinFailure: Promise<unknown>;

  private constructor(
    private readonly settings: GatewaySettings,
    sources: GatewaySources,
    private readonly logger: Logger,
  ) {
    const {instance, entry, store, promises, log} = settings;
    const startDelayMs = chooseStartDelayMs(settings);
    const isFirstStart = instance.first_start === 'true';
    const startWaitMs = isFirstStart ? startDelayMs + LEADER_WAIT_MS : 0;
    const timings = chooseFeedTimings(settings);
    for (const [feed, timing] of Object.entries(timings)) {
      if (timing.keepsPromise) continue;
      const {promiseMs, waitMs} = timing;
      logger.warn('feed wait too long for promise', {feed, promiseMs, waitMs});
    }
    const observe = (observation: FeedObservation) =>
      this.metrics.recordFeedPage(observation);
    const linesPerSecond = log.lines_per_second;
    this.log = RateLimitedLog.create({logger, linesPerSecond});
    this.policies = PolicyHolder.create({
      feed: sources.policyFeed,
      reader: sources.policyReader,
      timing: timings.policy,
      onStoreReached: () => {
        this.catalog.onStoreReached();
        this.serverFeed.retryNow();
      },
      startWaitMs,
      observe,
      logger,
    });
    const headerNames = toHeaderNames(settings);
    this.limits = KnownLimits.create(logger);
    this.instances = InstanceEstimate.create(
      instance.max_instances,
      () => this.zone.instances,
    );
    this.bodyMemory = BodyMemory.create(chooseBodyMemoryBytes(settings));
    const {hold_after: holdAfter, hold_ms: holdMs} = settings.crashes;
    const suspects = CrashSuspects.create({holdAfter, holdMs, logger});
    const crashExchange = CrashExchange.create(suspects);
    this.upstream = Upstream.create({
      location: {
        availabilityZone: instance.availability_zone,
        region: instance.region,
      },
      regionOf: zone => instance.zones.get(zone),
      headerNames,
      retryBudgetFor: service => this.zone.retryBudgetFor(service),
      instances: () => this.instances.read(),
      countedInstances: () => this.zone.instances,
      connectionLimitOf: service =>
        this.policies.current()?.findService(service)?.maxConnectionsPerServer,
      floorShare: promises.floor_share,
      limits: this.limits,
      grants: {
        requestGrant: request => this.zone.limitGrants.requestGrant(request),
        announce: (server, limit) =>
          this.zone.limitGrants.announce(server, limit),
      },
      suspects,
      requestTrial: digest => crashExchange.requestTrial(digest),
      onFailure: failure => this.zone.reportFailure(failure),
      logger,
    });
    this.catalog = ServerCatalog.create(
      {lapseGraceMs: promises.lapse_grace_ms, logger},
      {
        onJoined: server => this.upstream.addServer(server),
        onLeft: server => this.upstream.removeServer(server),
      },
    );
    this.serverFeed = SharedFeed.create<DiscoveredServer>({
      name: 'servers',
      logName: 'server feed',
      direct: sources.serverFeed,
      itemSchema: discoveredServerSchema,
      timing: timings.servers,
      pauseMs: store.servers_pause_ms,
      startWaitMs,
      listener: {
        onPage: (page, complete, sentAt) => {
          this.catalog.apply(page, complete);
          this.serverFeed.lease.confirm(sentAt, page.confirmedOffsetMs);
        },
        onUnavailable: () => this.catalog.onStoreUnavailable(),
        onRecovered: () => {
          this.catalog.onStoreRecovered();
          this.policies.feed.retryNow();
        },
        onRestored: () => this.catalog.onStoreRestored(),
      },
      observe,
      logger,
    });
    let onJoinFailed: (error: unknown) => void = () => {};
    this.joinFailure = new Promise(resolve => (onJoinFailed = resolve));
    this.zone = ZoneMember.create({
      onJoinFailed,
      self: {
        instanceId: instance.id,
        lifeId: randomUUID(),
        availabilityZone: instance.availability_zone,
        region: instance.region,
        ...settings.peer.listen,
        instances: 1,
        processorShare: instance.processor_share,
      },
      startDelayMs,
      table: sources.fleetTable,
      rateBounds: {
        overrun: promises.rate_overrun,
        slack: promises.rate_slack,
      },
      retryBounds: {
        ratio: promises.repeat_ratio,
        fleetAllowance: promises.repeat_allowance,
        windowMs: promises.repeat_window_ms,
        zones: instance.zones.size,
      },
      findTeam: name => this.policies.current()?.findTeam(name),
      limits: this.limits,
      estimateInstances: () => this.instances.read(),
      feeds: [this.policies.feed, this.serverFeed],
      followers: [this.policies.exchange, crashExchange],
      onServerFailure: ({serverId, service}) =>
        this.upstream.recordReportedFailure(serverId, service),
      logger,
    });
    this.metrics = GatewayMetrics.create({
      requestsInFlight: () => this.requestHandler.requestsInFlight,
      policyVersion: () => this.policies.current()?.version ?? 0,
      policyNotices: () => this.policies.current()?.policy.notices?.length ?? 0,
      isPolicyUnreadable: () => this.policies.isUnreadable,
      policyAgeSeconds: () => this.policies.lease.ageMs() / MS_PER_SECOND,
      servers: () => this.catalog.allServers().length,
      serverBeliefs: () => this.upstream.countBeliefs(),
      serversReadmitted: () => this.upstream.readmissions,
      serversLimited: () => this.limits.size,
      turnedAway: () => this.upstream.turnedAway,
      withdrawn: () => this.upstream.withdrawn,
      requestSuspects: () => suspects.count(),
      heldBack: () => this.upstream.heldBack,
      isZoneLeader: () => this.zone.isLeader,
      storeCalls: () => sources.storeCalls(),
      bodyMemoryBytes: () => this.bodyMemory.usedBytes,
    });
    this.requestHandler = RequestHandler.create({
      connections: this.connections,
      metrics: this.metrics,
      policies: this.policies,
      upstream: this.upstream,
      limiter: this.zone,
      bodyMemory: this.bodyMemory,
      headerNames,
      keyHeader: entry.key_header,
      keyScheme: entry.key_scheme,
      keyFreshnessMs: this.keyFreshnessMs,
      denialFreshnessMs: promises.policy_apply_ms * DENIAL_FRESHNESS_SHARE,
      log: this.log,
    });
    this.broker = createBroker(instance.id);
    this.callerServer = CallerServer.create(this.broker, {
      ...entry.listen,
      connections: this.connections,
      handle: (request, response) =>
        this.requestHandler.handle(request, response),
    });
    this.readyServer = StatusServer.create({
      ...entry.ready_listen,
      pages: {[entry.ready_path]: () => ({status: this.isReady() ? 200 : 503})},
    });
    this.metricsServer = createMetricsServer(settings, this.metrics);
    this.dump.register('servers', () => this.upstream.dumpState());
    this.dump.register('server limits', () => this.limits.list());
    this.dump.register('suspected requests', () => suspects.dumpState());
    this.dump.register('zone', () => this.zone.state());
    this.dump.register('store calls', () =>
      Object.fromEntries(sources.storeCalls()),
    );
    this.dump.register('policy', () => ({
      version: this.policies.current()?.version,
      confirmedAgeMs: this.policies.lease.ageMs(),
      newestIsUnreadable: this.policies.isUnreadable,
      notices: this.policies.current()?.policy.notices ?? [],
    }));
  }

  static create(
    settings: GatewaySettings,
    sources: GatewaySources,
    logger: Logger,
  ): GatewayProcess {
    return new GatewayProcess(settings, sources, logger);
  }

  /** Rejects when one of its addresses is in use. */
  async start(): Promise<void> {
    this.policies.start();
    this.serverFeed.start();
    this.zone.start();
    await this.readyServer.start();
    await this.metricsServer?.start();
    // The start of moleculer-web never ends when its address is in use.
    await Promise.all([this.broker.start(), this.callerServer.listening]);
    const startMs = Math.round(performance.now());
    this.logger.info('started', {startMs});
  }

  /** Applies the settings that can change at run time. */
  applySettings(settings: GatewaySettings): void {
    this.logger.level = settings.log.level;
    this.log.linesPerSecond = settings.log.lines_per_second;
  }

  /**
   * Stops gracefully: waits for the requests in flight, at most as long as
   * `stop_within_ms` allows.
   */
  stop(): Promise<void> {
    this.stopping ??= this.runStop();
    return this.stopping;
  }

  private get keyFreshnessMs(): number {
    return this.settings.promises.revocation_ms - REVOCATION_MARGIN_MS;
  }

  private isReady(): boolean {
    if (this.stopping || !this.catalog.isLoaded) return false;
    const table = this.policies.current();
    if (!table) return false;
    this.callerServer.setTimeouts(table.policy.callerLimits);
    return this.policies.lease.ageMs() <= this.keyFreshnessMs;
  }

  private async runStop(): Promise<void> {
    const {connections, requestHandler, callerServer, logger} = this;
    const stopWithinMs = this.settings.promises.stop_within_ms;
    this.zone.withdrawCandidacy();
    await GracefulStop.create({
      stopWithinMs,
      connections,
      requestHandler,
      callerServer,
      logger,
    }).run();
    this.log.flush();
    this.readyServer.stop();
    this.metricsServer?.stop();
    this.catalog.stop();
    await Promise.all([
      this.policies.stop(),
      this.serverFeed.stop(),
      this.zone.stop(),
    ]);
    this.upstream.close();
  }
}

function createMetricsServer(
  settings: GatewaySettings,
  metrics: GatewayMetrics,
): StatusServer | undefined {
  const {listen, path} = settings.metrics;
  if (listen === undefined) return undefined;
  const page = async () => ({
    status: 200,
    contentType: metrics.contentType,
    text: await metrics.text(),
  });
  return StatusServer.create({...listen, pages: {[path]: page}});
}

function createBroker(nodeID: string): ServiceBroker {
  return new moleculer.ServiceBroker({
    nodeID,
    logger: false,
    transporter: null,
    // moleculer's own signal handlers would stop the broker at once and abort
    // the requests in flight.
    skipProcessEventRegistration: true,
    metrics: false,
    tracing: false,
  });
}
