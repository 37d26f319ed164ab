/**
 * Chooses the server of a request by the latency to expect there and by how
 * far it is: traffic between zones and regions is paid by volume.
 */
import type {ServerRecord} from './server-record.js';

export interface Location {
  availabilityZone: string;
  region: string;
}

export interface PickOptions {
  /** Latency objective of the route; distances are priced in parts of it. */
  targetLatencyMs: number;
  /** Typical latency of the service. */
  baselineMs: number;
  /** Servers that the request was sent to before. */
  tried: ReadonlySet<ServerRecord>;
  /** Whether this is the request's second chance or a later one. */
  isRetry: boolean;
}

// Latency that a shorter way is worth, as parts of the latency objective.
const OTHER_ZONE_PENALTY = 0.5;
const OTHER_REGION_PENALTY = 1;
// An avoided server is chosen only when there is no other.
const AVOIDED_PENALTY = 20;
const TRIED_PENALTY = 10;
// A server on trial is no place for a request's last chance. It should get one
// request at a time, unless the way to another one is long.
const TRIAL_RETRY_PENALTY = 10;
const TRIAL_BUSY_PENALTY = 1;
// A server that has just started takes about twice as long.
const COLD_START_FACTOR = 2;
// Half-width of the random factor that spreads requests over equal servers.
const RANDOM_SPREAD = 0.3;

export class ServerPicker {
  private constructor(
    private readonly own: Location,
    private readonly regionOf: (availabilityZone: string) => string | undefined,
    private readonly random: () => number,
  ) {}

  static create(
    own: Location,
    regionOf: (availabilityZone: string) => string | undefined,
    random: () => number = Math.random,
  ): ServerPicker {
    return new ServerPicker(own, regionOf, random);
  }

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
      if (options.isRetry) penalty += TRIAL_RETRY_PENALTY;
      else if (record.inFlight > 0) penalty += TRIAL_BUSY_PENALTY;
    }
    return expectedMs * spread + penalty * targetLatencyMs;
  }

  /** Latency that the way to the server is worth, in latency objectives. */
  distancePenalty(record: ServerRecord): number {
    const zone = record.server.report.availabilityZone;
    if (zone === this.own.availabilityZone) return 0;
    return this.regionOf(zone) === this.own.region
      ? OTHER_ZONE_PENALTY
      : OTHER_REGION_PENALTY;
  }
}
