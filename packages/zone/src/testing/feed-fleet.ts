/**
 * A simulated fleet whose instances follow one feed with the product's own
 * elections and relays, while some of them lose the table. It records when each
 * instance has which change. Time is the runtime's clock, which tests advance.
 */
import {MemoryTable} from '@fireflytrack/platform';
import type {TableService} from '@fireflytrack/platform';
import {createLogger} from '@fireflytrack/telemetry';
import {sleep} from '@fireflytrack/time';
import {z} from 'zod';
import {FeedTiming} from '../lib/feed-timing.js';
import type {FeedLimits} from '../lib/feed-timing.js';
import type {Leader} from '../lib/leader-row.js';
import {SharedFeed} from '../lib/shared-feed.js';
import {ZoneElection} from '../lib/zone-election.js';
import {FeedTable} from './feed-table.js';
import type {LinkFault, TableLink} from './feed-table.js';
import {SimulatedLinks} from './simulated-links.js';

export interface FeedFleetOptions {
  zonesByRegion: Readonly<Record<string, readonly string[]>>;
  instancesPerZone: number;
  /** Time within which a change must be known everywhere. */
  promiseMs: number;
  /** Derived from the promise if absent. */
  limits?: FeedLimits;
  random(): number;
}

export interface FeedInstance {
  instanceId: string;
  availabilityZone: string;
  link: TableLink;
  election: ZoneElection;
  feed: SharedFeed<string>;
  /** Revisions that it has, each from which time on. */
  known: {revision: number; atMs: number}[];
  /** Times in which nothing is promised, as it had no path to the table. */
  disturbances: {fromMs: number; untilMs: number}[];
  /** When it last called the table successfully. */
  readAtMs: number;
  startedAtMs: number;
}

/** A change that an instance did not have in time. */
export interface LateChange {
  instanceId: string;
  revision: number;
  /** Undefined if the instance never had it. */
  afterMs: number | undefined;
}

const PAUSE_MS = 50;
const START_SPREAD_MS = 150;

export class FeedFleet {
  readonly table = FeedTable.create();
  readonly instances: FeedInstance[] = [];
  /** Pages that were older than what an instance had. */
  readonly regressions: string[] = [];
  private readonly ended: FeedInstance[] = [];
  private readonly links = SimulatedLinks.create();
  private readonly fleetTable = MemoryTable.create();
  private runs = 0;

  private constructor(private readonly options: FeedFleetOptions) {
    const {zonesByRegion, instancesPerZone} = options;
    for (const [region, zones] of Object.entries(zonesByRegion)) {
      for (const zone of zones) {
        for (let index = 0; index < instancesPerZone; index += 1) {
          this.instances.push(this.startInstance(region, zone, index));
        }
      }
    }
  }

  static create(options: FeedFleetOptions): FeedFleet {
    return new FeedFleet(options);
  }

  async stop(): Promise<void> {
    for (const {election} of this.instances) election.stop();
    await Promise.all(this.instances.map(({feed}) => feed.stop()));
  }

  /** Instances in the order in which they last read the table, latest first. */
  get readers(): FeedInstance[] {
    return [...this.instances].sort((a, b) => b.readAtMs - a.readAtMs);
  }

  /** Disturbs the link of an instance to the table for `forMs`. */
  loseTable(instance: FeedInstance, fault: LinkFault, forMs: number): void {
    const {link} = instance;
    link.fault = fault;
    const untilMs = performance.now() + forMs;
    // A slow table is one that is reached.
    if (fault !== 'slow') {
      instance.disturbances.push({fromMs: performance.now(), untilMs});
    }
    setTimeout(() => {
      if (link.fault === fault) link.fault = undefined;
    }, forMs);
  }

  /** Cuts an instance off from the others, silently, for `forMs`. */
  silence(instance: FeedInstance, forMs: number): void {
    const {instanceId} = instance;
    this.links.cutOff(instanceId, {resets: false});
    setTimeout(() => this.links.heal(instanceId), forMs);
  }

  /** Ends the process of an instance and starts it again after `downMs`. */
  restart(instance: FeedInstance, downMs: number): void {
    const index = this.instances.indexOf(instance);
    if (index < 0) return;
    instance.election.stop();
    void instance.feed.stop();
    this.links.end(instance.instanceId);
    this.instances.splice(index, 1);
    instance.disturbances.push({fromMs: performance.now(), untilMs: Infinity});
    this.ended.push(instance);
    const {availabilityZone, instanceId} = instance;
    const number = Number(instanceId.split('-i')[1]);
    const region = this.regionOf(availabilityZone);
    setTimeout(() => {
      this.instances.push(this.startInstance(region, availabilityZone, number));
    }, downMs);
  }

  /**
   * Changes that an instance had later than promised, though its path to the
   * table was undisturbed for `calmMs` before the change and until it was due.
   */
  findLate(calmMs: number): LateChange[] {
    const {promiseMs} = this.options;
    const late: LateChange[] = [];
    for (const change of this.table.changes) {
      const {revision, acknowledgedAtMs} = change;
      const dueAtMs = acknowledgedAtMs + promiseMs;
      if (dueAtMs > performance.now()) continue;
      const fromMs = acknowledgedAtMs - calmMs;
      for (const instance of [...this.instances, ...this.ended]) {
        if (!isCalm(instance, fromMs, dueAtMs)) continue;
        const known = instance.known.find(item => item.revision >= revision);
        if (known && known.atMs <= dueAtMs) continue;
        const afterMs = known && known.atMs - acknowledgedAtMs;
        const {instanceId} = instance;
        late.push({instanceId, revision, afterMs});
      }
    }
    return late;
  }

  private regionOf(zone: string): string {
    const regions = Object.entries(this.options.zonesByRegion);
    return regions.find(([, zones]) => zones.includes(zone))![0];
  }

  private startInstance(
    region: string,
    availabilityZone: string,
    index: number,
  ): FeedInstance {
    const instanceId = `${availabilityZone}-i${index}`;
    const identity = {instanceId, availabilityZone, region};
    const network = this.links.join(identity);
    this.runs += 1;
    const self: Leader = {
      ...identity,
      lifeId: `run-${this.runs}`,
      host: instanceId,
      port: 7100,
      instances: 1,
    };
    const logger = createLogger({level: 'error', silent: true});
    const link = this.table.createLink(instanceId);
    const election = ZoneElection.create({
      self,
      table: this.createFleetTable(link),
      network,
      logger,
      onBecomeLeader: () => {},
    });
    const {promiseMs, limits, random} = this.options;
    const feed = SharedFeed.create<string>({
      name: 'rows',
      logName: 'rows',
      direct: link,
      itemSchema: z.string(),
      timing: limits ?? FeedTiming.create({promiseMs}),
      pauseMs: PAUSE_MS,
      listener: {
        onPage: (page, _complete, sentAt) => {
          feed.lease.confirm(sentAt, page.confirmedOffsetMs);
          this.recordPage(instance, page.position.revision);
          if (!page.origin) instance.readAtMs = performance.now();
        },
      },
      logger,
    });
    const instance: FeedInstance = {
      instanceId,
      availabilityZone,
      link,
      election,
      feed,
      known: [],
      disturbances: [],
      readAtMs: 0,
      startedAtMs: performance.now(),
    };
    feed.start();
    void sleep(random() * START_SPREAD_MS).then(() => {
      election.start([]);
      feed.join({network, election});
    });
    return instance;
  }

  private recordPage(instance: FeedInstance, revision: number): void {
    const {instanceId, known} = instance;
    const last = known.at(-1)?.revision ?? -1;
    if (revision < last) {
      this.regressions.push(`${instanceId}: ${revision} after ${last}`);
    }
    if (revision > last) known.push({revision, atMs: performance.now()});
  }

  /** The table of leader rows, behind the same link. */
  private createFleetTable(link: TableLink): TableService {
    const unreachable = MemoryTable.create();
    unreachable.unavailable = true;
    const choose = () => (link.isCut ? unreachable : this.fleetTable);
    return {
      get: key => choose().get(key),
      scan: (prefix, limit) => choose().scan(prefix, limit),
      batch: (operations, options) => choose().batch(operations, options),
    };
  }
}

/** Whether nothing disturbed the instance between both times. */
function isCalm(
  {startedAtMs, disturbances}: FeedInstance,
  fromMs: number,
  untilMs: number,
): boolean {
  if (startedAtMs > fromMs) return false;
  return disturbances.every(
    ({fromMs: start, untilMs: end}) => start > untilMs || end < fromMs,
  );
}
