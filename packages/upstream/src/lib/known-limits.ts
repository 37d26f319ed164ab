/**
 * The limits that backend servers have named, as far as this instance knows.
 *
 * A limit belongs to one run of a server. It holds until the server answers a
 * later request without naming one; a failed response proves nothing.
 */
import type {Logger} from '@fireflytrack/telemetry';
import type {LimitReading} from './server-limit.js';

/** One run of a server; a restart under the same id has another start time. */
export interface ServerRun {
  serverId: string;
  startedAtMs: number;
}

export interface KnownLimit extends ServerRun {
  service: string;
  requestsPerSecond: number;
}

interface Entry {
  limit: KnownLimit;
  learnedAtMs: number;
  /** Monotonic time at which a response last named the limit. */
  namedAtMs: number;
  /** Monotonic time at which the server left; it may return. */
  goneAtMs: number | undefined;
}

// Bounds the limits of servers that this instance does not list.
const MAX_LIMITS = 2000;
const MAX_UNREADABLE_VALUES = 200;
// A server whose entry lapsed may return with its limit.
const GONE_RETENTION_MS = 60_000;

export class KnownLimits {
  private readonly entries = new Map<string, Entry>();
  private readonly unreadableValues = new Map<string, string>();

  private constructor(private readonly logger: Logger) {}

  static create(logger: Logger): KnownLimits {
    return new KnownLimits(logger);
  }

  get size(): number {
    return this.entries.size;
  }

  find(run: ServerRun): KnownLimit | undefined {
    return this.entries.get(toKey(run))?.limit;
  }

  list(): KnownLimit[] {
    return [...this.entries.values()].map(({limit}) => limit);
  }

  /**
   * Applies what a complete response says about the limit of its server. The
   * request was sent at `sentAtMs`. Returns whether the known limit changed.
   */
  applyResponse(
    server: ServerRun & {service: string},
    reading: LimitReading,
    sentAtMs: number,
  ): boolean {
    switch (reading.kind) {
      case 'named': {
        const {requestsPerSecond} = reading;
        return this.learn({...server, requestsPerSecond}, 'response');
      }
      case 'unreadable':
        this.logUnreadable(server, reading.value);
        return false;
      case 'absent': {
        const entry = this.entries.get(toKey(server));
        // A request that crossed the naming of the limit proves nothing.
        if (!entry || sentAtMs < entry.namedAtMs) return false;
        return this.end(server);
      }
    }
  }

  /** Stores a limit; returns whether it is new or differs from the known one. */
  learn(limit: KnownLimit, source: 'response' | 'peer'): boolean {
    const {serverId, service, startedAtMs, requestsPerSecond} = limit;
    const nowMs = performance.now();
    const key = toKey(limit);
    const known = this.entries.get(key);
    const before = known?.limit.requestsPerSecond;
    if (!known) this.makeRoom();
    this.entries.set(key, {
      limit: {serverId, service, startedAtMs, requestsPerSecond},
      learnedAtMs: known?.learnedAtMs ?? nowMs,
      namedAtMs: nowMs,
      goneAtMs: undefined,
    });
    if (before === requestsPerSecond) return false;
    const message = known ? 'server limit changed' : 'server limit learned';
    const server = serverId;
    const fields = {service, server, requestsPerSecond, before, source};
    this.logger.info(message, fields);
    return true;
  }

  /** Returns whether a limit was known. */
  end(run: ServerRun): boolean {
    const entry = this.entries.get(toKey(run));
    if (!entry) return false;
    this.entries.delete(toKey(run));
    const {service, serverId: server, requestsPerSecond} = entry.limit;
    const forMs = Math.round(performance.now() - entry.learnedAtMs);
    const fields = {service, server, requestsPerSecond, forMs};
    this.logger.info('server limit ended', fields);
    return true;
  }

  /** Keeps the limit of a server that has left for a while. */
  retire(run: ServerRun): void {
    const nowMs = performance.now();
    for (const [key, {goneAtMs = nowMs}] of this.entries) {
      if (nowMs - goneAtMs >= GONE_RETENTION_MS) this.entries.delete(key);
    }
    const entry = this.entries.get(toKey(run));
    if (entry) entry.goneAtMs = nowMs;
    this.unreadableValues.delete(toKey(run));
  }

  /** Drops the limit that was learned first if there are too many. */
  private makeRoom(): void {
    if (this.entries.size < MAX_LIMITS) return;
    const [oldest] = this.entries.keys();
    if (oldest !== undefined) this.entries.delete(oldest);
  }

  /** Logs an unreadable value once per server. */
  private logUnreadable(
    server: ServerRun & {service: string},
    value: string,
  ): void {
    const key = toKey(server);
    if (this.unreadableValues.get(key) === value) return;
    if (this.unreadableValues.size >= MAX_UNREADABLE_VALUES) {
      this.unreadableValues.clear();
    }
    this.unreadableValues.set(key, value);
    const {service, serverId} = server;
    const fields = {service, server: serverId, value};
    this.logger.warn('server limit not readable', fields);
  }
}

function toKey({serverId, startedAtMs}: ServerRun): string {
  return `${serverId}@${startedAtMs}`;
}
