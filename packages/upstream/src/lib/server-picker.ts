/**
 * Chooses the server for a request by expected latency and distance: traffic
 * between zones and regions is charged by volume.
 */
import type {ServerRecord} from './server-record.js';

export interface Location {
  availabilityZone: string;
  region: string;
}

export interface PickOptions {
  /** Latency objective of the route; penalties are multiples of it. */
  targetLatencyMs: number;
  /** Typical latency of the service. */
  baselineMs: number;
  /** Servers to which the request was already sent. */
  tried: ReadonlySet<ServerRecord>;
  /** Servers whose trial the request should not make. */
  withheld: ReadonlySet<ServerRecord>;
  /** Whether this is the second or a later attempt of the request. */
  isRetry: boolean;
}

export interface RankedServer {
  record: ServerRecord;
  score: number;
}

// Penalties in multiples of the latency objective, which are added to the
// expected latency. These two are for distance.
const OTHER_ZONE_PENALTY = 0.5;
const OTHER_REGION_PENALTY = 1;
// Large, so that an avoided server is chosen only when there is no other.
const AVOIDED_PENALTY = 20;
const TRIED_PENALTY = 10;
// A server on trial should get no retries, which may be a request's last attempt,
// no requests that it is withheld from, and only one request at a time unless the other servers are far away.
const TRIAL_RETRY_PENALTY = 10;
const TRIAL_BUSY_PENALTY = 1;
// A server that is still warming up takes about twice as long.
const COLD_START_FACTOR = 2;
// Half-width of the random factor that spreads requests over similar servers.
const RANDOM_SPREAD = 0.3;

export class ServerPicker {
  private constructor(
    private readonly location: Location,
    private readonly regionOf: (availabilityZone: string) => string | undefined,
    private readonly random: () => number,
  ) {}

  static create(
    location: Location,
    regionOf: (availabilityZone: string) => string | undefined,
    random: () => number = Math.random,
  ): ServerPicker {
    return new ServerPicker(location, regionOf, random);
  }

  /** Returns the best server with a free connection, if there is one. */
  pick(
    records: readonly ServerRecord[],
    options: PickOptions,
  ): ServerRecord | undefined {
    const nowMs = performance.now();
    let best: ServerRecord | undefined;
    let bestScore = Infinity;
    for (const record of records) {
      if (!record.pool.hasCapacity) continue;
      const score = this.score(record, options, nowMs);
      if (score >= bestScore) continue;
      best = record;
      bestScore = score;
    }
    return best;
  }

  /** Returns the servers with a free connection, the best one first. */
  rank(records: readonly ServerRecord[], options: PickOptions): RankedServer[] {
    const nowMs = performance.now();
    return records
      .filter(record => record.pool.hasCapacity)
      .map(record => ({record, score: this.score(record, options, nowMs)}))
      .sort((a, b) => a.score - b.score);
  }

  private score(
    record: ServerRecord,
    options: PickOptions,
    nowMs: number,
  ): number {
    const {targetLatencyMs, baselineMs, tried} = options;
    const {slots} = record.server.report;
    const cold = record.isWarm(nowMs) ? 1 : COLD_START_FACTOR;
    const queued = 1 + record.inFlight / slots;
    const expectedMs = record.latency.read(baselineMs) * queued * cold;
    const spread = 1 - RANDOM_SPREAD + 2 * RANDOM_SPREAD * this.random();
    let penalty = this.distancePenalty(record);
    if (record.isAvoided(nowMs)) penalty += AVOIDED_PENALTY;
    if (tried.has(record)) penalty += TRIED_PENALTY;
    if (record.isOnTrial(nowMs)) {
      if (options.isRetry || options.withheld.has(record))
        penalty += TRIAL_RETRY_PENALTY;
      else if (record.inFlight > 0) penalty += TRIAL_BUSY_PENALTY;
    }
    return expectedMs * spread + penalty * targetLatencyMs;
  }

  /** Penalty for the distance to the server, in latency objectives. */
  distancePenalty(record: ServerRecord): number {
    const zone = record.server.report.availabilityZone;
    if (zone === this.location.availabilityZone) return 0;
    return this.regionOf(zone) === this.location.region
      ? OTHER_ZONE_PENALTY
      : OTHER_REGION_PENALTY;
  }
}
