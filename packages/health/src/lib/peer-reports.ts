/** The latest report that each peer sent about the servers of a service. */
import type {EvidenceEntry, ReportedState} from './evidence-frame.js';
import type {ServerHealth} from './server-health.js';

interface PeerReport {
  peerId: string;
  region: string;
  atMs: number;
  entries: ReadonlyMap<string, EvidenceEntry>;
}

// Five periods: a partitioned or stopped peer has no requests in flight here.
const REPORT_LIFETIME_MS = 1000;

export class PeerReports {
  private readonly reports = new Map<string, PeerReport>();

  private constructor(
    private readonly servers: ReadonlyMap<string, ServerHealth>,
    private readonly maxOutstanding: number,
  ) {}

  /**
   * `maxOutstanding`: most connections that an instance opens to a server.
   * Higher reports are capped at it, so that no peer can divert all traffic.
   */
  static create(
    servers: ReadonlyMap<string, ServerHealth>,
    maxOutstanding: number,
  ): PeerReports {
    return new PeerReports(servers, maxOutstanding);
  }

  /** Replaces the last report of the peer; `entries` are keyed by server id. */
  receive(
    peerId: string,
    region: string,
    entries: ReadonlyMap<string, EvidenceEntry>,
  ): void {
    this.remove(peerId);
    const atMs = performance.now();
    this.reports.set(peerId, {peerId, region, atMs, entries});
    this.addOutstanding(entries, 1);
  }

  expire(): void {
    const oldestMs = performance.now() - REPORT_LIFETIME_MS;
    for (const {peerId, atMs} of [...this.reports.values()]) {
      if (atMs < oldestMs) this.remove(peerId);
    }
  }

  /** Peers, optionally of one region, that report one of `states`. */
  findReporters(
    serverId: string,
    states: readonly ReportedState[],
    region?: string,
  ): {peerId: string; ejections: number}[] {
    const reporters = [];
    for (const {peerId, region: peerRegion, entries} of this.reports.values()) {
      if (region !== undefined && peerRegion !== region) continue;
      const entry = entries.get(serverId);
      if (!entry || !states.includes(entry.state)) continue;
      reporters.push({peerId, ejections: entry.ejections});
    }
    return reporters;
  }

  countPeersInRegion(region: string): number {
    let count = 0;
    for (const report of this.reports.values()) {
      if (report.region === region) count += 1;
    }
    return count;
  }

  private remove(peerId: string): void {
    const report = this.reports.get(peerId);
    if (!report) return;
    this.reports.delete(peerId);
    this.addOutstanding(report.entries, -1);
  }

  private addOutstanding(
    entries: ReadonlyMap<string, EvidenceEntry>,
    sign: 1 | -1,
  ): void {
    for (const [serverId, entry] of entries) {
      const server = this.servers.get(serverId);
      if (!server) continue;
      const outstanding = Math.min(entry.outstanding, this.maxOutstanding);
      server.peerOutstanding += sign * outstanding;
    }
  }
}
