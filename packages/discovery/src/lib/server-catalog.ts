/**
 * The backend servers that may get requests, by service.
 *
 * While the store is away its entries may lapse although the servers live, so
 * removals are held back until lapsed entries had the time to come back. A
 * server that said that it is draining leaves at once in any case.
 */
import type {Logger} from '@fireflytrack/telemetry';
import {isSameIncarnation} from './backend-server.js';
import type {DiscoveredServer} from './backend-server.js';
import type {FeedPage} from './change-feed.js';

// A single failed call is not an outage: entries lapse only after heartbeats
// were missed for longer than this.
const MIN_OUTAGE_MS = 1000;

export interface ServerCatalogOptions {
  /** Time that lapsed entries need to come back after an outage. */
  lapseGraceMs: number;
  logger: Logger;
}

/** What is kept of a server beside its own report. */
export interface CatalogServer {
  report: DiscoveredServer;
  /** Monotonic time until which it is slow after its start. */
  warmUntilMs: number;
  /** Monotonic time at which it was first seen. */
  seenAtMs: number;
}

export interface CatalogListener {
  onJoined(server: CatalogServer): void;
  onLeft(server: CatalogServer): void;
}

export class ServerCatalog {
  private readonly servers = new Map<string, CatalogServer>();
  private readonly byService = new Map<string, CatalogServer[]>();
  /** Removals that wait for the end of the grace, by server id. */
  private readonly heldRemovals = new Set<string>();
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

  /** Whether the servers were read at least once. */
  get isLoaded(): boolean {
    return this.loaded;
  }

  /** Servers of a service that accept requests. */
  serversForService(service: string): readonly CatalogServer[] {
    return this.byService.get(service) ?? [];
  }

  allServers(): CatalogServer[] {
    return [...this.servers.values()];
  }

  apply(page: FeedPage<DiscoveredServer>, complete: boolean): void {
    this.loaded = true;
    this.lastPageAtMs = performance.now();
    for (const {key, item} of page.rows) {
      if (item) this.upsert(item);
      else this.removeOrHold(key);
    }
    if (!complete) return;
    const listed = new Set(page.rows.map(row => row.key));
    for (const serverId of [...this.servers.keys()]) {
      if (!listed.has(serverId)) this.removeOrHold(serverId);
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
    const held = [...this.heldRemovals];
    this.heldRemovals.clear();
    for (const serverId of held) this.remove(serverId);
  }

  private upsert(report: DiscoveredServer): void {
    this.heldRemovals.delete(report.serverId);
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
    const server = {report, warmUntilMs, seenAtMs: nowMs};
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

  private removeOrHold(serverId: string): void {
    if (!this.servers.has(serverId)) return;
    if (this.outage || this.inGrace) this.heldRemovals.add(serverId);
    else this.remove(serverId);
  }

  private remove(serverId: string): void {
    const server = this.servers.get(serverId);
    if (!server) return;
    this.servers.delete(serverId);
    const {service} = server.report;
    const rest = this.serversForService(service).filter(
      other => other !== server,
    );
    this.byService.set(service, rest);
    this.options.logger.info('server left', {server: serverId, service});
    this.listener.onLeft(server);
  }
}
