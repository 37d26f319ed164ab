/**
 * The backend servers that may receive requests, by service.
 *
 * During an outage of the store, entries may expire although the servers are
 * running. Removals are therefore deferred until expired entries had time to
 * return. A server that reports that it is draining is always removed at once.
 */
import type {Logger} from '@fireflytrack/telemetry';
import {isSameIncarnation} from './backend-server.js';
import type {DiscoveredServer} from './backend-server.js';
import type {FeedPage} from './change-feed.js';

// Shorter interruptions, such as a single failed call, are not an outage: entries
// expire only after heartbeats were missed for longer than this.
const MIN_OUTAGE_MS = 1000;

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
  private lastPageAtMs = 0;
  private graceTimer: NodeJS.Timeout | undefined;
  private inGrace = false;
  private loaded = false;

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
      if (item) this.upsert(item);
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
    clearTimeout(this.graceTimer);
  }

  onStoreRecovered(): void {
    if (!this.outage) return;
    this.outage = false;
    clearTimeout(this.graceTimer);
    this.inGrace = true;
    const outageMs = performance.now() - this.lastPageAtMs;
    if (outageMs < MIN_OUTAGE_MS) {
      this.endGrace();
      return;
    }
    this.graceTimer = setTimeout(
      () => this.endGrace(),
      this.options.lapseGraceMs,
    );
  }

  stop(): void {
    clearTimeout(this.graceTimer);
  }

  private endGrace(): void {
    this.inGrace = false;
    const deferred = [...this.deferredRemovals];
    this.deferredRemovals.clear();
    for (const serverId of deferred) this.remove(serverId);
  }

  private upsert(report: DiscoveredServer): void {
    this.deferredRemovals.delete(report.serverId);
    const known = this.servers.get(report.serverId);
    if (report.state === 'draining') {
      this.remove(report.serverId);
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
    if (!this.servers.has(serverId)) return;
    if (this.outage || this.inGrace) this.deferredRemovals.add(serverId);
    else this.remove(serverId);
  }

  private remove(serverId: string): void {
    const server = this.servers.get(serverId);
    if (!server) return;
    this.servers.delete(serverId);
    const {service} = server.report;
    const remaining = this.serversForService(service).filter(
      other => other !== server,
    );
    this.byService.set(service, remaining);
    this.options.logger.info('server left', {server: serverId, service});
    this.listener.onLeft(server);
  }
}
