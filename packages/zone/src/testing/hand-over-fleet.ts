/**
 * A simulated fleet that elects leaders and grants rates, with cut links and
 * ended processes. Time is the runtime's clock, which tests advance.
 */
import {MemoryTable} from '@fireflytrack/platform';
import type {TableService} from '@fireflytrack/platform';
import type {TeamPolicy} from '@fireflytrack/policy';
import {createLogger} from '@fireflytrack/telemetry';
import type {Leader} from '../lib/leader-row.js';
import {ZoneElection} from '../lib/zone-election.js';
import {ZoneRateLimiter} from '../lib/zone-rate-limiter.js';
import type {RateBounds} from '../lib/zone-buckets.js';
import {SimulatedLinks} from './simulated-links.js';

export interface FleetInstance {
  instanceId: string;
  availabilityZone: string;
  election: ZoneElection;
  limiter: ZoneRateLimiter;
  /** Cut off from the other instances. */
  isCutOff: boolean;
  /** Cut off from the table. */
  isTableCut: boolean;
  hasEnded: boolean;
}

export interface HandOverFleetOptions {
  zones: number;
  instancesPerZone: number;
  bounds: RateBounds;
  teams: readonly TeamPolicy[];
}

export class HandOverFleet {
  readonly instances: FleetInstance[] = [];
  private readonly links = SimulatedLinks.create();
  private readonly table = MemoryTable.create();
  private runs = 0;

  private constructor(private readonly options: HandOverFleetOptions) {
    for (let zone = 0; zone < options.zones; zone += 1) {
      for (let index = 0; index < options.instancesPerZone; index += 1) {
        this.instances.push(
          this.startInstance(`z${zone}`, `z${zone}-i${index}`),
        );
      }
    }
  }

  static create(options: HandOverFleetOptions): HandOverFleet {
    return new HandOverFleet(options);
  }

  stop(): void {
    for (const {election} of this.instances) election.stop();
  }

  /**
   * Cuts an instance off. With `resets`, its connections end at once, otherwise
   * when they have been silent for too long.
   */
  cutOff(
    instance: FleetInstance,
    {resets, cutsTable}: {resets: boolean; cutsTable: boolean},
  ): void {
    instance.isCutOff = true;
    instance.isTableCut = cutsTable;
    this.links.cutOff(instance.instanceId, {resets});
  }

  heal(instance: FleetInstance): void {
    instance.isCutOff = false;
    instance.isTableCut = false;
    this.links.heal(instance.instanceId);
  }

  /** Ends the process of an instance. */
  end(instance: FleetInstance): void {
    instance.hasEnded = true;
    instance.election.stop();
    this.links.end(instance.instanceId);
  }

  /** Starts a new process in the place of one that ended. */
  restart(instance: FleetInstance): FleetInstance {
    const {availabilityZone, instanceId} = instance;
    const started = this.startInstance(availabilityZone, instanceId);
    this.instances[this.instances.indexOf(instance)] = started;
    return started;
  }

  private startInstance(
    availabilityZone: string,
    instanceId: string,
  ): FleetInstance {
    const {bounds, teams} = this.options;
    const region = 'nord';
    const network = this.links.join({instanceId, availabilityZone, region});
    this.runs += 1;
    const self: Leader = {
      instanceId,
      lifeId: `run-${this.runs}`,
      availabilityZone,
      region,
      host: instanceId,
      port: 7100,
      instances: 1,
    };
    const logger = createLogger({level: 'error', silent: true});
    const election: ZoneElection = ZoneElection.create({
      self,
      table: this.createTable(() => instance.isTableCut),
      network,
      logger,
      onBecomeLeader: vacantSinceMs => limiter.becomeLeader(vacantSinceMs),
    });
    const limiter = ZoneRateLimiter.create({
      bounds,
      election,
      network,
      findTeam: name => teams.find(team => team.name === name),
    });
    const instance: FleetInstance = {
      instanceId,
      availabilityZone,
      election,
      limiter,
      isCutOff: false,
      isTableCut: false,
      hasEnded: false,
    };
    election.start([]);
    return instance;
  }

  private createTable(isCut: () => boolean): TableService {
    const unreachable = MemoryTable.create();
    unreachable.unavailable = true;
    const choose = () => (isCut() ? unreachable : this.table);
    return {
      get: key => choose().get(key),
      scan: (prefix, limit) => choose().scan(prefix, limit),
      batch: (operations, options) => choose().batch(operations, options),
    };
  }
}
