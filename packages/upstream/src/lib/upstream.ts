/**
 * Sends requests to backend servers: keeps a record of each server, grouped by
 * service, and runs each request to its outcome.
 */
import type {CatalogServer} from '@fireflytrack/discovery';
import type {Logger} from '@fireflytrack/telemetry';
import {ConnectCheck} from './crash-check.js';
import type {CrashSuspects} from './crash-suspects.js';
import type {HeaderNames} from './http-conventions.js';
import type {KnownLimits} from './known-limits.js';
import type {LimitGrants} from './limit-grants.js';
import {RequestRun} from './request-run.js';
import type {RunOptions} from './request-run.js';
import type {UpstreamOutcome} from './upstream-outcome.js';
import type {RetryBudget} from './retry-budget.js';
import {ServerChooser} from './server-chooser.js';
import {ServerPicker} from './server-picker.js';
import type {Location} from './server-picker.js';
import {ServerRecord} from './server-record.js';
import {KnownSignals} from './server-signals.js';
import {ServiceState} from './service-state.js';
import type {ServerBeliefs} from './service-state.js';

export interface ObservedFailure {
  serverId: string;
  service: string;
  /** The server had been avoided before and has now failed its trial as well. */
  failedTrial: boolean;
}

export interface UpstreamOptions {
  location: Location;
  regionOf(availabilityZone: string): string | undefined;
  headerNames: HeaderNames;
  retryBudgetFor(service: string): RetryBudget;
  /** Upper estimate of the running instances. */
  instances(): number;
  /** The same, if they were counted. */
  countedInstances(): number | undefined;
  /** Connections that a server of `service` accepts from all instances together. */
  connectionLimitOf(service: string): number | undefined;
  /** Minimum share of a service's servers that stays in use. */
  floorShare: number;
  /** Limits that servers have named; shared with the exchange between instances. */
  limits: KnownLimits;
  grants: LimitGrants;
  /** Requests that may crash servers; shared with the exchange. */
  suspects: CrashSuspects;
  /** Asks for the one trial of a held request that the fleet makes. */
  requestTrial(digest: string): Promise<boolean>;
  /** Called when a server is avoided because it failed a request here. */
  onFailure(failure: ObservedFailure): void;
  logger: Logger;
}

// Used while the policy has no limit for the service.
const DEFAULT_CONNECTION_LIMIT = 100;

export class Upstream {
  private readonly services = new Map<string, ServiceState>();
  private readonly records = new Map<CatalogServer, ServerRecord>();
  private readonly picker: ServerPicker;
  private readonly signals: KnownSignals;
  private readonly choosers = new Map<string, ServerChooser>();
  private readonly crashCheck = ConnectCheck.create();
  /** Attempts not made because the request may crash its server. */
  heldBack = 0;

  private constructor(private readonly options: UpstreamOptions) {
    this.picker = ServerPicker.create(options.location, options.regionOf);
    this.signals = KnownSignals.create(options.logger);
  }

  static create(options: UpstreamOptions): Upstream {
    return new Upstream(options);
  }

  addServer(server: CatalogServer): void {
    const {service} = server.report;
    const record = ServerRecord.create(
      server,
      () => this.connectionShare(service),
      Math.random,
      this.signals.list(server.report),
    );
    this.records.set(server, record);
    this.getOrCreateService(service).add(record);
  }

  removeServer(server: CatalogServer): void {
    const record = this.records.get(server);
    if (!record) return;
    this.records.delete(server);
    this.options.limits.retire(record.run);
    this.signals.retire(record.run);
    this.getOrCreateService(server.report.service).remove(record);
    record.pool.close();
  }

  /** Records a failure that another instance observed. */
  recordReportedFailure(serverId: string, service: string): void {
    this.services.get(service)?.recordReportedFailure(serverId);
  }

  /** Runs a request. Resolves with its outcome; never rejects. */
  run(options: RunOptions): Promise<UpstreamOutcome> {
    const state = this.getOrCreateService(options.service);
    state.budget.recordRequest();
    const {headerNames, limits, grants, suspects, logger} = this.options;
    const chooser = this.getOrCreateChooser(options.service);
    return RequestRun.create(options, {
      state,
      chooser,
      headerNames,
      limits,
      signals: this.signals,
      grants,
      crashes: {
        suspects,
        check: this.crashCheck,
        requestTrial: digest => this.options.requestTrial(digest),
        onHeldBack: () => (this.heldBack += 1),
        logger,
      },
      logger,
    }).run();
  }

  hasServers(service: string): boolean {
    return (this.services.get(service)?.records.length ?? 0) > 0;
  }

  /** Beliefs about the servers of all services. */
  countBeliefs(): ServerBeliefs {
    const total = {suspected: 0, failing: 0, onTrial: 0, trusted: 0};
    for (const state of this.services.values()) {
      const beliefs = state.countBeliefs();
      total.suspected += beliefs.suspected;
      total.failing += beliefs.failing;
      total.onTrial += beliefs.onTrial;
      total.trusted += beliefs.trusted;
    }
    return total;
  }

  /** Avoidances that the floor ended early since the start. */
  get readmissions(): number {
    let readmissions = 0;
    for (const state of this.services.values())
      readmissions += state.readmissions;
    return readmissions;
  }

  /** Choices of servers that were not made because of a limit. */
  get turnedAway(): number {
    let turnedAway = 0;
    for (const chooser of this.choosers.values())
      turnedAway += chooser.turnedAway;
    return turnedAway;
  }

  /** Choices refused because every server leaves or has asked for a pause. */
  get withdrawn(): number {
    let withdrawn = 0;
    for (const chooser of this.choosers.values()) {
      withdrawn += chooser.withdrawn;
    }
    return withdrawn;
  }

  close(): void {
    for (const record of this.records.values()) record.pool.close();
  }

  dumpState(): Record<string, unknown> {
    const services = [...this.services].map(([name, state]) => [
      name,
      state.dumpState(),
    ]);
    return Object.fromEntries(services);
  }

  /** Maximum connections of this instance to one server of the service. */
  private connectionShare(service: string): number {
    const limit =
      this.options.connectionLimitOf(service) ?? DEFAULT_CONNECTION_LIMIT;
    const share = Math.floor(limit / this.options.instances());
    return Math.max(1, share);
  }

  private getOrCreateChooser(service: string): ServerChooser {
    let chooser = this.choosers.get(service);
    if (!chooser) {
      const {limits, grants} = this.options;
      const {picker} = this;
      chooser = ServerChooser.create({service, picker, limits, grants});
      this.choosers.set(service, chooser);
    }
    return chooser;
  }

  private getOrCreateService(name: string): ServiceState {
    let state = this.services.get(name);
    if (!state) {
      const {
        retryBudgetFor: repeatBudgetOf,
        countedInstances,
        floorShare,
        onFailure,
        logger,
      } = this.options;
      state = ServiceState.create({
        name,
        budget: repeatBudgetOf(name),
        countedInstances,
        floorShare,
        distanceOf: record => this.picker.distancePenalty(record),
        onFailure: (serverId, failedTrial) =>
          onFailure({serverId, service: name, failedTrial}),
        logger,
      });
      this.services.set(name, state);
    }
    return state;
  }
}
