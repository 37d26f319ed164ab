/**
 * Agrees which instance leads an availability zone, by one row of the shared
 * table that is written under a condition.
 *
 * An instance takes the lead when it cannot reach the one that the row names.
 * What a leader does must be safe while the one before it still acts: it
 * learns of its loss by its next look at the row.
 */
import type {TableRow, TableService} from '@fireflytrack/platform';
import type {Logger} from '@fireflytrack/telemetry';
import type {PeerDialer, PeerNetwork} from '@fireflytrack/wire';
import {z} from 'zod';
import {sleep} from '@fireflytrack/time';
import {leaderKeyOf, leadersOf, versionOf} from './leader-row.js';
import type {Leader} from './leader-row.js';

export interface ZoneElectionOptions {
  self: Leader;
  table: TableService;
  network: PeerNetwork & PeerDialer;
  logger: Logger;
  /**
   * Called when this instance begins to lead; nobody has led the zone since
   * `vacantSinceMs` of the monotonic clock.
   */
  onLead(vacantSinceMs: number): void;
}

const CONFIRM_LEADER = 'zone.confirm';
const FLEET_SIZE = 'zone.fleet-size';

const confirmationSchema = z.object({
  leads: z.boolean(),
  instances: z.number().int().positive(),
  /** Life of the instance that answers, and how long it has lasted. */
  lifeId: z.string().optional(),
  uptimeMs: z.number().nonnegative().optional(),
});
type Confirmation = z.infer<typeof confirmationSchema>;
const fleetSizeSchema = z.object({instances: z.number().int().positive()});

// A leader looks at its row this often; it bounds how long two may act.
const LEADER_CHECK_MS = 2000;
// A member looks whether its connection to the leader stands.
const MEMBER_CHECK_MS = 250;
// A connection within a zone takes some milliseconds, also to a busy leader.
const REACH_WAIT_MS = 450;
const REACH_CHECK_MS = 30;
const CONNECT_CHECK_MS = 10;
// A connection to another zone is closed when it was not used for this long.
const UNUSED_MS = 4000;
const CONFIRM_TIMEOUT_MS = 400;
const STORE_RETRY_MS = 500;
// Spreads the members that lost their leader at the same moment.
const CANDIDATE_SPREAD_MS = 150;
// Rows of all zones and the secret fit.
const MAX_ROWS = 200;

export class ZoneElection {
  private leaders = new Map<string, Leader>();
  /** When connections to leaders of other zones were last used. */
  private readonly usedAtMs = new Map<string, number>();
  private leads = false;
  private stopped = false;
  private fleetSize = 1;
  /** Since when the leader that the row names is known to be gone. */
  private vacantSinceMs: number | undefined;

  private constructor(private readonly options: ZoneElectionOptions) {
    const {network, self} = options;
    network.onRequest(CONFIRM_LEADER, () => {
      const confirmation: Confirmation = {
        leads: this.isLeader,
        instances: this.fleetSize,
        lifeId: self.lifeId,
        uptimeMs: performance.now(),
      };
      return confirmation;
    });
    network.onMessage(FLEET_SIZE, (_from, payload) => {
      this.fleetSize = fleetSizeSchema.parse(payload).instances;
    });
  }

  static create(options: ZoneElectionOptions): ZoneElection {
    return new ZoneElection(options);
  }

  /** Instances of all zones, as their leaders last counted them. */
  get instances(): number {
    return this.fleetSize;
  }

  /** Whether this instance leads its zone. */
  get isLeader(): boolean {
    return this.leads && !this.stopped;
  }

  /** The leader of the own zone, if it is known and connected. */
  get reachableLeader(): Leader | undefined {
    const {self} = this.options;
    const leader = this.leaders.get(self.availabilityZone);
    if (!leader || leader.instanceId === self.instanceId) return undefined;
    return this.isConnected(leader) ? leader : undefined;
  }

  /** Waits until the zone has a leader that is reached from here. */
  async waitForLeader(waitMs: number): Promise<void> {
    const giveUpAtMs = performance.now() + waitMs;
    while (!this.isLeader && !this.reachableLeader) {
      if (performance.now() >= giveUpAtMs) return;
      await sleep(CONNECT_CHECK_MS);
    }
  }

  /** Leaders of the other zones, those of the own region first. */
  get otherLeaders(): Leader[] {
    const {self} = this.options;
    const others = [...this.leaders.values()].filter(
      leader => leader.availabilityZone !== self.availabilityZone,
    );
    const distance = (leader: Leader) =>
      leader.region === self.region ? 0 : 1;
    return others.sort((one, other) => distance(one) - distance(other));
  }

  /** Zones that have a leader, at least the own one. */
  get zoneCount(): number {
    return Math.max(1, this.leaders.size);
  }

  start(rows: readonly TableRow[]): void {
    this.learn(rows);
    void this.run();
  }

  stop(): void {
    this.stopped = true;
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      const rows = await this.options.table.scan('', MAX_ROWS);
      if (this.stopped) return;
      if (rows.err) {
        await sleep(STORE_RETRY_MS);
        continue;
      }
      this.learn(rows.val);
      this.closeUnused();
      if (this.leads) await this.lead(rows.val);
      else if (await this.reach()) await this.whileConnected();
      else await this.takeLead(rows.val);
    }
  }

  private learn(rows: readonly TableRow[]): void {
    const {self, logger} = this.options;
    const leaders = leadersOf(rows);
    this.leaders = new Map();
    for (const [zone, {leader}] of leaders) this.leaders.set(zone, leader);
    const own = this.leaders.get(self.availabilityZone);
    const leads = own?.lifeId === self.lifeId;
    if (leads === this.leads) return;
    this.leads = leads;
    const {availabilityZone} = self;
    if (!leads) {
      const leader = own?.instanceId;
      logger.info('lost the lead of the zone', {availabilityZone, leader});
      return;
    }
    const nowMs = performance.now();
    const vacantSinceMs = this.vacantSinceMs ?? nowMs;
    this.options.onLead(vacantSinceMs);
    const vacantForMs = Math.round(nowMs - vacantSinceMs);
    logger.info('leads the zone', {availabilityZone, vacantForMs});
  }

  /** Counts the fleet, tells the own zone, and rests until the next look. */
  private async lead(rows: readonly TableRow[]): Promise<void> {
    const {network, self, table} = this.options;
    const inZone = network
      .peers()
      .filter(peer => peer.availabilityZone === self.availabilityZone);
    const instances = inZone.length + 1;
    const key = leaderKeyOf(self.availabilityZone);
    if (this.leaders.get(self.availabilityZone)?.instances !== instances) {
      const ifVersion = versionOf(rows, key);
      const value = {...self, instances};
      const put = {kind: 'put' as const, key, ifVersion, value};
      // A failed write is tried again at the next look, which also tells
      // whether another instance has taken the lead.
      await table.batch([put], {atomic: true});
    }
    let total = instances;
    for (const leader of this.otherLeaders) total += leader.instances;
    if (total !== this.fleetSize) {
      this.fleetSize = total;
      for (const peer of inZone) {
        network.send(peer.instanceId, FLEET_SIZE, {instances: total});
      }
    }
    await sleep(LEADER_CHECK_MS);
  }

  /** Connects to the leader of the row; whether it is there and leads. */
  private async reach(): Promise<boolean> {
    const {network, self, logger} = this.options;
    const leader = this.leaders.get(self.availabilityZone);
    this.vacantSinceMs = undefined;
    if (!leader) return false;
    if (leader.instanceId === self.instanceId) {
      if (this.isEarlierLife(leader)) this.vacantSinceMs = 0;
      return false;
    }
    network.connectTo(leader);
    const giveUpAtMs = performance.now() + REACH_WAIT_MS;
    while (!this.isConnected(leader)) {
      if (performance.now() >= giveUpAtMs || this.stopped) {
        network.disconnect(leader.instanceId);
        return false;
      }
      await sleep(REACH_CHECK_MS);
    }
    const answer = await network.request(
      leader.instanceId,
      CONFIRM_LEADER,
      {},
      CONFIRM_TIMEOUT_MS,
    );
    const confirmation = confirmationSchema.safeParse(
      answer.ok ? answer.val : undefined,
    );
    const confirmed = confirmation.success && confirmation.data.leads;
    if (confirmation.success) {
      const {instances, lifeId, uptimeMs} = confirmation.data;
      this.fleetSize = instances;
      // The instance has restarted, so that its earlier life, which led, is over.
      if (lifeId !== leader.lifeId && uptimeMs !== undefined) {
        this.vacantSinceMs = performance.now() - uptimeMs;
      }
    }
    if (confirmed) logger.info('follows leader', {leader: leader.instanceId});
    else network.disconnect(leader.instanceId);
    return confirmed;
  }

  /** Whether the row names a life of this instance that is over. */
  private isEarlierLife({lifeId, host, port}: Leader): boolean {
    const {self} = this.options;
    return lifeId !== self.lifeId && host === self.host && port === self.port;
  }

  private async whileConnected(): Promise<void> {
    const {network, self, logger} = this.options;
    const leader = this.leaders.get(self.availabilityZone)!;
    while (!this.stopped && this.isConnected(leader)) {
      await sleep(MEMBER_CHECK_MS);
      this.closeUnused();
    }
    if (this.stopped) return;
    network.disconnect(leader.instanceId);
    logger.warn('dependency lost', {dependency: 'zone leader'});
  }

  private async takeLead(rows: readonly TableRow[]): Promise<void> {
    const {self, table} = this.options;
    await sleep(Math.random() * CANDIDATE_SPREAD_MS);
    if (this.stopped) return;
    const key = leaderKeyOf(self.availabilityZone);
    const ifVersion = versionOf(rows, key);
    const put = {kind: 'put' as const, key, ifVersion, value: self};
    const result = await table.batch([put], {atomic: true});
    if (result.err) await sleep(STORE_RETRY_MS);
  }

  /** Connects to a leader of another zone; whether that came about in time. */
  async connect(leader: Leader, waitMs: number): Promise<boolean> {
    const {availabilityZone} = this.options.self;
    if (leader.availabilityZone !== availabilityZone) {
      this.usedAtMs.set(leader.instanceId, performance.now());
    }
    if (this.isConnected(leader)) return true;
    this.options.network.connectTo(leader);
    const giveUpAtMs = performance.now() + waitMs;
    while (performance.now() < giveUpAtMs) {
      await sleep(CONNECT_CHECK_MS);
      if (this.isConnected(leader)) return true;
    }
    return false;
  }

  /** Connections between zones cost bytes while they stand. */
  private closeUnused(): void {
    const nowMs = performance.now();
    for (const [instanceId, usedAtMs] of this.usedAtMs) {
      if (nowMs - usedAtMs < UNUSED_MS) continue;
      this.usedAtMs.delete(instanceId);
      this.options.network.disconnect(instanceId);
    }
  }

  private isConnected(leader: Leader): boolean {
    const {instanceId} = leader;
    return this.options.network
      .peers()
      .some(peer => peer.instanceId === instanceId);
  }
}
