/**
 * A simulated fleet that elects leaders and grants rates, with cut links and
 * ended processes. Time is the runtime's clock, which tests advance.
 */
import {Err} from '@fireflytrack/result';
import {MemoryTable} from '@fireflytrack/platform';
import type {TableService} from '@fireflytrack/platform';
import type {TeamPolicy} from '@fireflytrack/policy';
import {createLogger} from '@fireflytrack/telemetry';
import {MemoryNetwork, peerError} from '@fireflytrack/wire';
import type {PeerDialer, PeerNetwork} from '@fireflytrack/wire';
import type {Leader} from '../lib/leader-row.js';
import {ZoneElection} from '../lib/zone-election.js';
import {ZoneRateLimiter} from '../lib/zone-rate-limiter.js';
import type {RateBounds} from '../lib/zone-buckets.js';

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

const NETWORK_DELAY_MS = 1;
const CONNECT_MS = 3;
// A connection whose other side is silent is closed after this time.
const SILENCE_MS = 5000;

export class HandOverFleet {
  readonly instances: FleetInstance[] = [];
  private readonly network = MemoryNetwork.create({
    delayMs: () => NETWORK_DELAY_MS,
  });
  private readonly table = MemoryTable.create();
  /** Connected pairs, each by both ids in order. */
  private readonly connections = new Set<string>();
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
    const {instanceId} = instance;
    for (const other of this.instances) {
      this.network.cut(instanceId, other.instanceId);
      this.network.cut(other.instanceId, instanceId);
    }
    const close = () => this.closeAll(instance);
    if (resets) close();
    else setTimeout(() => instance.isCutOff && close(), SILENCE_MS);
  }

  heal(instance: FleetInstance): void {
    instance.isCutOff = false;
    instance.isTableCut = false;
    const {instanceId} = instance;
    for (const other of this.instances) {
      if (other.isCutOff) continue;
      this.network.heal(instanceId, other.instanceId);
      this.network.heal(other.instanceId, instanceId);
    }
  }

  /** Ends the process of an instance. */
  end(instance: FleetInstance): void {
    instance.hasEnded = true;
    instance.election.stop();
    this.closeAll(instance);
    this.network.leave(instance.instanceId);
  }

  /** Starts a new process in the place of one that ended. */
  restart(instance: FleetInstance): FleetInstance {
    const {availabilityZone, instanceId} = instance;
    const started = this.startInstance(availabilityZone, instanceId);
    this.instances[this.instances.indexOf(instance)] = started;
    return started;
  }

  private closeAll({instanceId}: FleetInstance): void {
    for (const pair of this.connections) {
      if (pair.split(' ').includes(instanceId)) this.connections.delete(pair);
    }
  }

  private startInstance(
    availabilityZone: string,
    instanceId: string,
  ): FleetInstance {
    const {bounds, teams} = this.options;
    const region = 'nord';
    const peers = this.network.join({instanceId, availabilityZone, region});
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
    const network = this.createDialer(peers);
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

  private find(instanceId: string): FleetInstance | undefined {
    return this.instances.find(item => item.instanceId === instanceId);
  }

  private createDialer(peers: PeerNetwork): PeerNetwork & PeerDialer {
    const ownId = peers.self.instanceId;
    const pairWith = (id: string) => [ownId, id].sort().join(' ');
    const isConnected = (id: string) => this.connections.has(pairWith(id));
    const refused = new Set<string>();
    return {
      self: peers.self,
      peers: () =>
        peers.peers().filter(({instanceId}) => isConnected(instanceId)),
      send: (id, kind, payload) => {
        if (isConnected(id)) peers.send(id, kind, payload);
      },
      broadcast: (kind, payload) => peers.broadcast(kind, payload),
      request: async (id, kind, payload, timeoutMs) =>
        isConnected(id)
          ? peers.request(id, kind, payload, timeoutMs)
          : Err(peerError('unreachable', 'not connected')),
      onMessage: (kind, handler) => peers.onMessage(kind, handler),
      onRequest: (kind, handler) => peers.onRequest(kind, handler),
      connectTo: ({instanceId}) => {
        setTimeout(() => {
          const own = this.find(ownId);
          const other = this.find(instanceId);
          if (!own || !other || own.isCutOff || other.isCutOff) return;
          if (other.hasEnded) refused.add(instanceId);
          else this.connections.add(pairWith(instanceId));
        }, CONNECT_MS);
      },
      disconnect: id => {
        refused.delete(id);
        this.connections.delete(pairWith(id));
      },
      wasRefused: id => refused.has(id),
    };
  }
}
