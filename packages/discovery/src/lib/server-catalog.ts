/**
 * The backend servers that may receive requests, by service.
 *
 * During an outage of the store, entries may expire although the servers are
 * running. Removals are therefore deferred until expired entries had time to
 * return. A server that reports that it is draining is always removed at once.
 *
 * A store that returned from an older copy lists servers that have left since,
 * and lacks some that have joined. The former are used again only if they report
 * anew or their entries do not lapse; the latter have time to return.
 */
import type {Logger} from '@fireflytrack/telemetry';
import {isSameIncarnation} from './backend-server.js';
import type {DiscoveredServer} from './backend-server.js';
import type {FeedPage} from './change-feed.js';

// Shorter interruptions, such as a single failed call, are not an outage: entries
// expire only after heartbeats were missed for longer than this.
const MIN_OUTAGE_MS = 1000;
// An entry of a server that does not report lapses within this time.
const LAPSE_MS = 6000;
const MAX_DEPARTED = 5000;

export interface ServerCatalogOptions {
  /** Time that expired entries need to return after an outage. */
  lapseGraceMs: number;
  logger: Logger;
}

/** A server's latest report and what the catalog derived from it. */
export interface CatalogServer {
  report: DiscoveredServer;
  /** Monotonic time at which its warm-up ends. */
  warmUntilMs: number;
  /** Monotonic time at which it was first seen. */
  firstSeenAtMs: number;
}

/** The last report of a server that was removed. */
type DepartedServer = Pick<
  DiscoveredServer,
  'startedAtMs' | 'reportNumber' | 'state'
>;

export interface CatalogListener {
  onJoined(server: CatalogServer): void;
  onLeft(server: CatalogServer): void;
}

export class ServerCatalog {
  private readonly servers = new Map<string, CatalogServer>();
  private readonly byService = new Map<string, CatalogServer[]>();
  /** Ids of servers whose removal is deferred to the end of the grace period. */
  private readonly deferredRemovals = new Set<string>();
  private outage = false;
  /** When the store was reached again in the outage, by any feed. */
  private reachedAtMs: number | undefined;
  private lastPageAtMs = 0;
  private graceTimer: NodeJS.Timeout | undefined;
  private inGrace = false;
  private loaded = false;
  private readonly departed = new Map<string, DepartedServer>();
  /** Entries of departed servers in a store that was restored. */
  private readonly doubtful = new Map<string, DiscoveredServer>();
  private doubtTimer: NodeJS.Timeout | undefined;
  private inDoubt = false;

  private constructor(
    private readonly options: ServerCatalogOptions,
    private readonly listener: CatalogListener,
  ) {}

  static create(
    options: ServerCatalogOptions,
    listener: CatalogListener,
  ): ServerCatalog {
    return new ServerCatalog(options, listener);
  }

  /** Whether the servers have been read at least once. */
  get isLoaded(): boolean {
    return this.loaded;
  }

  /** Returns the servers of a service that accept requests. */
  serversForService(service: string): readonly CatalogServer[] {
    return this.byService.get(service) ?? [];
  }

  allServers(): CatalogServer[] {
    return [...this.servers.values()];
  }

  /** Applies a page of the server feed; `complete` marks a full read. */
  apply(page: FeedPage<DiscoveredServer>, complete: boolean): void {
    this.loaded = true;
    this.lastPageAtMs = performance.now();
    for (const {key, item} of page.rows) {
      if (item) this.applyReport(item);
      else this.removeOrDefer(key);
    }
    if (!complete) return;
    const listed = new Set(page.rows.map(row => row.key));
    for (const serverId of [...this.servers.keys()]) {
      if (!listed.has(serverId)) this.removeOrDefer(serverId);
    }
  }

  onStoreUnavailable(): void {
    this.outage = true;
    this.reachedAtMs = undefined;
    clearTimeout(this.graceTimer);
  }

  /**
   * Another feed has reached the store. Expired entries return from then on, also
   * if the server feed needs longer.
   */
  onStoreReached(): void {
    if (this.outage) this.reachedAtMs ??= performance.now();
  }

  onStoreRecovered(): void {
    if (!this.outage) return;
    this.outage = false;
    const nowMs = performance.now();
    const outageMs = nowMs - this.lastPageAtMs;
    if (outageMs < MIN_OUTAGE_MS) this.endGrace();
    else this.startGrace(nowMs - (this.reachedAtMs ?? nowMs));
  }

  /** The store returned from an older copy; its rows are read next. */
  onStoreRestored(): void {
    this.outage = false;
    this.startGrace();
    this.inDoubt = true;
    clearTimeout(this.doubtTimer);
    this.doubtTimer = setTimeout(() => this.endDoubt(), LAPSE_MS);
  }

  stop(): void {
    clearTimeout(this.graceTimer);
    clearTimeout(this.doubtTimer);
  }

  /** Starts a grace period of which `passedMs` have passed. */
  private startGrace(passedMs = 0): void {
    clearTimeout(this.graceTimer);
    this.inGrace = true;
    const leftMs = Math.max(0, this.options.lapseGraceMs - passedMs);
    this.graceTimer = setTimeout(() => this.endGrace(), leftMs);
  }

  private endDoubt(): void {
    this.inDoubt = false;
    const remaining = [...this.doubtful.values()];
    this.doubtful.clear();
    for (const report of remaining) this.applyReport(report);
  }

  private endGrace(): void {
    this.inGrace = false;
    const deferred = [...this.deferredRemovals];
    this.deferredRemovals.clear();
    for (const serverId of deferred) this.remove(serverId);
  }

  private applyReport(report: DiscoveredServer): void {
    const {serverId, startedAtMs} = report;
    const latest = this.servers.get(serverId)?.report;
    const departed = this.departed.get(serverId);
    const latestStartMs = (latest ?? departed)?.startedAtMs ?? 0;
    if (startedAtMs < latestStartMs) return;
    if (!latest && departed && this.isDoubtful(report, departed)) {
      if (departed.state === 'ready') this.doubtful.set(serverId, report);
      return;
    }
    this.doubtful.delete(serverId);
    this.upsert(report);
  }

  /** Whether the report may be of the time before the server left. */
  private isDoubtful(
    report: DiscoveredServer,
    departed: DepartedServer,
  ): boolean {
    if (!this.inDoubt || report.startedAtMs > departed.startedAtMs)
      return false;
    return (
      departed.state === 'draining' ||
      report.reportNumber <= departed.reportNumber
    );
  }

  private upsert(report: DiscoveredServer): void {
    this.deferredRemovals.delete(report.serverId);
    const known = this.servers.get(report.serverId);
    if (report.state === 'draining') {
      this.remove(report.serverId);
      this.rememberDeparted(report);
      return;
    }
    const nowMs = performance.now();
    const warmUntilMs = nowMs + report.warmupLeftMs;
    if (known && isSameIncarnation(known.report, report)) {
      known.report = report;
      known.warmUntilMs = warmUntilMs;
      return;
    }
    if (known) this.remove(report.serverId);
    const server = {report, warmUntilMs, firstSeenAtMs: nowMs};
    this.servers.set(report.serverId, server);
    const {service} = report;
    this.byService.set(service, [...this.serversForService(service), server]);
    this.options.logger.info('server joined', {
      server: report.serverId,
      service,
      availabilityZone: report.availabilityZone,
      warmupLeftMs: report.warmupLeftMs,
    });
    this.listener.onJoined(server);
  }

  private removeOrDefer(serverId: string): void {
    this.doubtful.delete(serverId);
    if (!this.servers.has(serverId)) return;
    if (this.outage || this.inGrace) this.deferredRemovals.add(serverId);
    else this.remove(serverId);
  }

  private remove(serverId: string): void {
    const server = this.servers.get(serverId);
    if (!server) return;
    this.servers.delete(serverId);
    this.rememberDeparted(server.report);
    const {service} = server.report;
    const remaining = this.serversForService(service).filter(
      other => other !== server,
    );
    this.byService.set(service, remaining);
    this.options.logger.info('server left', {server: serverId, service});
    this.listener.onLeft(server);
  }

  private rememberDeparted(report: DiscoveredServer): void {
    const {serverId, startedAtMs, reportNumber, state} = report;
    this.departed.delete(serverId);
    this.departed.set(serverId, {startedAtMs, reportNumber, state});
    if (this.departed.size <= MAX_DEPARTED) return;
    const [oldest] = this.departed.keys();
    if (oldest !== undefined) this.departed.delete(oldest);
  }
}
