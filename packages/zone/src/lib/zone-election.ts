/**
 * Elects the leader of an availability zone with conditional writes to one row
 * of the shared table.
 *
 * An instance becomes leader when it cannot reach the leader named in the row.
 * The former leader keeps acting until it reads the row again, so the actions
 * of a leader must be safe while two instances act as leader. What must not be
 * granted twice is divided by `ZoneShare`.
 */
import type {TableRow, TableService} from '@fireflytrack/platform';
import {toLogText} from '@fireflytrack/telemetry';
import type {Logger} from '@fireflytrack/telemetry';
import type {PeerDialer, PeerIdentity, PeerNetwork} from '@fireflytrack/wire';
import {z} from 'zod';
import {sleep} from '@fireflytrack/time';
import {
  MAX_INSTANCES,
  findInvalidLeaders,
  findRowVersion,
  leaderKey,
  parseLeaders,
} from './leader-row.js';
import type {Leader} from './leader-row.js';
import {LeaderConnections} from './leader-connections.js';
import {LeaderRowRelay} from './leader-row-relay.js';
import {LeaderView} from './leader-view.js';
import {ZoneShare} from './zone-share.js';
import type {Succession} from './zone-share.js';

export interface ZoneElectionOptions {
  self: Leader;
  table: TableService;
  network: PeerNetwork & PeerDialer;
  logger: Logger;
  /**
   * Called when this instance becomes leader. The zone has had no leader since
   * `vacantSinceMs` of the monotonic clock, or the former leader may still act if
   * that is undefined.
   */
  onBecomeLeader(vacantSinceMs: number | undefined): void;
  /** Called with the rows of each read of the table. */
  onRowsRead?(rows: readonly TableRow[]): Promise<void>;
  /** Called when this instance starts to follow a leader. */
  onFollowLeader?(leader: Leader): void;
}

const CONFIRM_LEADER_KIND = 'zone.confirm';
const FLEET_SIZE_KIND = 'zone.fleet-size';
const RESIGNED_KIND = 'zone.resigned';

// No instance runs for longer.
const MAX_UPTIME_MS = 10 * 365 * 86_400_000;

const instancesSchema = z.number().int().positive().max(MAX_INSTANCES);
const confirmationSchema = z.object({
  leads: z.boolean(),
  instances: instancesSchema,
  /** Process run of the responding instance, and its uptime. */
  lifeId: z.string().optional(),
  uptimeMs: z.number().nonnegative().max(MAX_UPTIME_MS).optional(),
});
type Confirmation = z.infer<typeof confirmationSchema>;
const fleetSizeSchema = z.object({instances: instancesSchema});

// Interval at which a leader reads its row from the table; bounds how long two
// instances may act as leader.
const LEADER_ROW_POLL_MS = 2000;
// The same for a leader that reads for others, and for those. Together with the
// age of relayed rows and the time-outs of the next reads, it is below the window
// in which a new owner of limited servers reckons with the one before it (4 s).
const RELAYED_ROW_POLL_MS = 900;
const MAX_RELAYED_ROW_AGE_MS = 1050;
// The secret is read from the table only.
const FULL_READ_INTERVAL_MS = 20_000;
// Interval at which a member checks its connection to the leader.
const MEMBER_CONNECTION_POLL_MS = 250;
// Connecting within a zone takes a few milliseconds, even to a busy leader.
const LEADER_CONNECT_TIMEOUT_MS = 450;
const LEADER_CONNECT_POLL_MS = 30;
const CONNECT_POLL_MS = 10;
const CONFIRM_TIMEOUT_MS = 400;
// Connecting to another region takes about 20 ms.
const SOURCE_CONNECT_TIMEOUT_MS = 300;
const TABLE_RETRY_MS = 500;
// Spreads the candidacies of members that lost their leader at the same time.
const CANDIDACY_JITTER_MS = 150;
// Time that instances which are as large as the last leader have to replace it
// before a smaller one does.
const SMALLER_INSTANCE_DELAY_MS = 300;
// An instance that reaches nobody cannot tell that the leader is lost. Only after
// this time does it replace a leader that others may follow.
const ISOLATED_DELAY_MS = 10_000;
// Enough for the rows of all zones and the secret.
const MAX_SCAN_ROWS = 200;

export class ZoneElection {
  private readonly leaders = LeaderView.create();
  private readonly connections: LeaderConnections;
  private holdsLeadership = false;
  private isCandidate = true;
  private stopped = false;
  /** Has waited for a larger instance to become leader. */
  private hasDeferred = false;
  private fleetSize = 1;
  private readonly rowRelay: LeaderRowRelay;
  private nextFullReadAtMs = 0;
  /** Keys of leader rows that are not valid. */
  private invalidLeaders: ReadonlySet<string> = new Set();
  /** The leader that last reported that it leads no longer. */
  private resignedId: string | undefined;
  /** When the leader named in the row ended, if that is known. */
  private vacantSinceMs: number | undefined;
  /** When the connection to the leader that this instance followed ended. */
  private lostLeader: {lifeId: string; atMs: number} | undefined;
  /** Since when this instance has reached neither its leader nor another. */
  private isolatedSinceMs: number | undefined;
  /** Describes the leadership that this instance applied for. */
  private succession: Succession = {instances: 1};
  /** The part of the zone's rates that this instance may grant as leader. */
  readonly share: ZoneShare;

  private constructor(private readonly options: ZoneElectionOptions) {
    const {network, self} = options;
    this.connections = LeaderConnections.create(network, self.availabilityZone);
    const maxAgeMs = MAX_RELAYED_ROW_AGE_MS;
    this.rowRelay = LeaderRowRelay.create({network, maxAgeMs});
    this.share = ZoneShare.create({
      network,
      lifeId: self.lifeId,
      followedLifeId: () => this.reachableLeader?.lifeId,
    });
    network.onRequest(CONFIRM_LEADER_KIND, () => {
      const confirmation: Confirmation = {
        leads: this.isLeader,
        instances: this.fleetSize,
        lifeId: self.lifeId,
        uptimeMs: performance.now(),
      };
      return confirmation;
    });
    network.onMessage(FLEET_SIZE_KIND, (_from, payload) => {
      this.fleetSize = fleetSizeSchema.parse(payload).instances;
    });
    network.onMessage(RESIGNED_KIND, from => {
      this.resignedId = from.instanceId;
    });
  }

  static create(options: ZoneElectionOptions): ZoneElection {
    return new ZoneElection(options);
  }

  /** Number of instances in all zones, as last counted by their leaders. */
  get instances(): number {
    return this.fleetSize;
  }

  /** Whether this instance is the leader of its zone. */
  get isLeader(): boolean {
    return this.holdsLeadership && !this.stopped;
  }

  /** The leader of this instance's zone, if it is known and connected. */
  get reachableLeader(): Leader | undefined {
    const {self} = this.options;
    const leader = this.leaders.get(self.availabilityZone);
    if (!leader || leader.instanceId === self.instanceId) return undefined;
    return this.isConnected(leader) ? leader : undefined;
  }

  /** Waits up to `waitMs` for the zone to have a reachable leader. */
  async waitForLeader(waitMs: number): Promise<void> {
    const deadlineAtMs = performance.now() + waitMs;
    while (!this.isLeader && !this.reachableLeader) {
      if (performance.now() >= deadlineAtMs) return;
      await sleep(CONNECT_POLL_MS);
    }
  }

  /** Leaders of the other zones, those in the same region first. */
  get otherLeaders(): Leader[] {
    const {self} = this.options;
    const others = this.leaders
      .all()
      .filter(leader => leader.availabilityZone !== self.availabilityZone);
    const distance = (leader: Leader) =>
      leader.region === self.region ? 0 : 1;
    return others.sort((a, b) => distance(a) - distance(b));
  }

  /**
   * The leader to read feeds from instead of the table: for members that of their
   * zone, for leaders the first reached one of their region, by the names of the
   * zones: bytes between regions cost more than calls to the table. Undefined for that one
   * itself, and while no leader is known.
   */
  get feedSource(): Leader | undefined {
    if (!this.isLeader) return this.reachableLeader;
    const {self} = this.options;
    let first: Leader | undefined;
    for (const leader of this.otherLeaders) {
      const {availabilityZone, region, instanceId} = leader;
      if (region !== self.region) continue;
      if (this.connections.isUnreached(instanceId)) continue;
      if (availabilityZone > (first ?? self).availabilityZone) continue;
      first = leader;
    }
    return first;
  }

  /** Number of zones that rates are divided by, at least 1. */
  get zoneCount(): number {
    return Math.max(1, this.leaders.zonesSeen);
  }

  /** Begins with rows that were just read. */
  start(rows: readonly TableRow[]): void {
    void this.run(rows);
  }

  stop(): void {
    this.stopped = true;
    this.share.end();
    const leader = this.reachableLeader;
    if (leader) this.share.announceLeaving(leader.instanceId);
  }

  /** From now on, does not become leader; a leader goes on until it stops. */
  withdrawCandidacy(): void {
    this.isCandidate = false;
  }

  private async run(firstRows: readonly TableRow[]): Promise<void> {
    let rows: readonly TableRow[] | undefined = firstRows;
    while (!this.stopped) {
      try {
        const turn = this.takeTurn(rows);
        rows = undefined;
        await turn;
      } catch (error) {
        // An odd row or response must end neither the election nor the process.
        const reason = toLogText(String(error));
        this.options.logger.warn('zone election interrupted', {reason});
        await sleep(TABLE_RETRY_MS);
      }
    }
  }

  private async takeTurn(known?: readonly TableRow[]): Promise<void> {
    const relayed = known ? undefined : await this.fetchRows();
    const rows = known ?? relayed ?? (await this.readTable());
    if (!rows || this.stopped) return;
    if (!relayed) await this.options.onRowsRead?.(rows);
    if (this.stopped) return;
    if (!relayed) this.logInvalidLeaders(rows);
    this.applyRows(rows);
    this.connections.closeIdle();
    if (this.holdsLeadership) await this.actAsLeader(rows, relayed === rows);
    else if (await this.connectToLeader()) await this.followLeader();
    else await this.tryBecomeLeader(rows);
  }

  /** Returns the leader rows that another leader has read, if it is reached. */
  private async fetchRows(): Promise<readonly TableRow[] | undefined> {
    const source = this.holdsLeadership ? this.feedSource : undefined;
    if (!source || performance.now() >= this.nextFullReadAtMs) return undefined;
    if (!(await this.connect(source, SOURCE_CONNECT_TIMEOUT_MS))) {
      return undefined;
    }
    const era = this.options.table.era ?? 0;
    return this.rowRelay.fetch(source.instanceId, era);
  }

  private async readTable(): Promise<readonly TableRow[] | undefined> {
    const {table} = this.options;
    const sentAtMs = performance.now();
    const rows = await table.scan('', MAX_SCAN_ROWS);
    if (rows.err) {
      await sleep(TABLE_RETRY_MS);
      return undefined;
    }
    this.nextFullReadAtMs = sentAtMs + FULL_READ_INTERVAL_MS;
    this.rowRelay.store(rows.val, table.era ?? 0, sentAtMs);
    return rows.val;
  }

  /** Logs each row in the place of a leader that names none once. */
  private logInvalidLeaders(rows: readonly TableRow[]): void {
    const invalid = findInvalidLeaders(rows);
    for (const {key, version} of invalid) {
      if (this.invalidLeaders.has(key)) continue;
      const fields = {entry: toLogText(key), revision: version};
      this.options.logger.warn('leader row not taken', fields);
    }
    this.invalidLeaders = new Set(invalid.map(({key}) => key));
  }

  private applyRows(rows: readonly TableRow[]): void {
    const {self, logger, table} = this.options;
    this.leaders.apply(rows, table.era ?? 0);
    const own = this.leaders.get(self.availabilityZone);
    const leads = own?.lifeId === self.lifeId;
    if (leads === this.holdsLeadership) return;
    this.holdsLeadership = leads;
    this.hasDeferred = false;
    if (leads) this.share.begin(this.succession);
    else this.share.end();
    const {availabilityZone} = self;
    if (!leads) {
      const leader = own?.instanceId;
      logger.info('lost the lead of the zone', {availabilityZone, leader});
      // Their connections to this instance stay open.
      for (const peer of this.zonePeers()) {
        this.options.network.send(peer.instanceId, RESIGNED_KIND, {});
      }
      return;
    }
    const {vacantSinceMs, succession} = this;
    this.options.onBecomeLeader(vacantSinceMs);
    const vacantForMs =
      vacantSinceMs === undefined
        ? undefined
        : Math.round(performance.now() - vacantSinceMs);
    const {instances} = succession;
    logger.info('leads the zone', {availabilityZone, vacantForMs, instances});
  }

  /**
   * Counts the instances of the fleet, reports the number to the zone, and
   * sleeps until the next read of the row.
   */
  private async actAsLeader(
    rows: readonly TableRow[],
    areRelayed: boolean,
  ): Promise<void> {
    const {network, self, table} = this.options;
    const zonePeers = this.zonePeers();
    this.share.confirm(areRelayed ? MAX_RELAYED_ROW_AGE_MS : 0);
    const {instances} = this.share;
    const key = leaderKey(self.availabilityZone);
    const stored = parseLeaders(rows).get(self.availabilityZone)?.leader;
    const isStored = stored?.lifeId === self.lifeId;
    if (!isStored || stored.instances !== instances) {
      const ifVersion = findRowVersion(rows, key);
      const value = {...self, instances};
      const write = {kind: 'put' as const, key, ifVersion, value};
      // A failed write is retried after the next read, which also shows whether
      // another instance has become leader.
      await table.batch([write], {atomic: true});
    }
    let total = instances;
    for (const leader of this.otherLeaders) total += leader.instances;
    if (total !== this.fleetSize) {
      this.fleetSize = total;
      for (const peer of zonePeers) {
        network.send(peer.instanceId, FLEET_SIZE_KIND, {instances: total});
      }
    }
    const isRead = !this.feedSource && this.otherLeaders.length > 0;
    const pollsOften = areRelayed || isRead;
    await sleep(pollsOften ? RELAYED_ROW_POLL_MS : LEADER_ROW_POLL_MS);
  }

  /**
   * Connects to the leader named in the row. Returns whether it responded and
   * confirmed its leadership.
   */
  private async connectToLeader(): Promise<boolean> {
    const {network, self, logger} = this.options;
    const leader = this.leaders.get(self.availabilityZone);
    this.vacantSinceMs = undefined;
    this.succession = {instances: leader?.instances ?? 1};
    if (!leader) return false;
    if (leader.instanceId === self.instanceId) {
      if (this.isEarlierRun(leader)) this.recordEnd(leader, 0);
      return false;
    }
    network.connectTo(leader);
    const deadlineAtMs = performance.now() + LEADER_CONNECT_TIMEOUT_MS;
    while (!this.isConnected(leader)) {
      const isRefused = network.wasRefused(leader.instanceId);
      if (isRefused) this.recordEnd(leader, this.lossTimeOf(leader));
      if (isRefused || performance.now() >= deadlineAtMs || this.stopped) {
        // Unless it was refused, the leader may still act and end later.
        if (!isRefused) this.lostLeader = undefined;
        network.disconnect(leader.instanceId);
        return false;
      }
      await sleep(LEADER_CONNECT_POLL_MS);
    }
    const response = await network.request(
      leader.instanceId,
      CONFIRM_LEADER_KIND,
      {},
      CONFIRM_TIMEOUT_MS,
    );
    const confirmation = confirmationSchema.safeParse(
      response.ok ? response.val : undefined,
    );
    const confirmed = confirmation.success && confirmation.data.leads;
    if (confirmation.success) {
      const {instances, lifeId, uptimeMs} = confirmation.data;
      this.fleetSize = instances;
      // The instance has restarted, so the run that was leader has ended.
      if (lifeId !== leader.lifeId && uptimeMs !== undefined) {
        this.recordEnd(leader, performance.now() - uptimeMs);
      }
    }
    if (confirmed) logger.info('follows leader', {leader: leader.instanceId});
    else network.disconnect(leader.instanceId);
    return confirmed;
  }

  /** Records that a leader has ended, at `atMs` at the latest. */
  private recordEnd({lifeId, instances}: Leader, atMs: number): void {
    this.vacantSinceMs = atMs;
    const remaining = Math.max(1, instances - 1);
    this.succession = {instances: remaining, endedLifeId: lifeId};
  }

  /** When the connection to a leader was lost; now, if it is not known. */
  private lossTimeOf({lifeId}: Leader): number {
    const {lostLeader} = this;
    return lostLeader?.lifeId === lifeId ? lostLeader.atMs : performance.now();
  }

  private zonePeers(): PeerIdentity[] {
    const {network, self} = this.options;
    return network
      .peers()
      .filter(peer => peer.availabilityZone === self.availabilityZone);
  }

  /** Whether the row names an earlier run of this instance. */
  private isEarlierRun({lifeId, host, port}: Leader): boolean {
    const {self} = this.options;
    return lifeId !== self.lifeId && host === self.host && port === self.port;
  }

  private async followLeader(): Promise<void> {
    const {network, self, logger} = this.options;
    const leader = this.leaders.get(self.availabilityZone)!;
    this.options.onFollowLeader?.(leader);
    this.resignedId = undefined;
    this.hasDeferred = false;
    const hasResigned = () => this.resignedId === leader.instanceId;
    while (!this.stopped && this.isConnected(leader) && !hasResigned()) {
      await sleep(MEMBER_CONNECTION_POLL_MS);
      this.connections.closeIdle();
    }
    if (this.stopped) return;
    this.lostLeader = {lifeId: leader.lifeId, atMs: performance.now()};
    if (hasResigned()) this.share.releasePromise(leader.lifeId);
    network.disconnect(leader.instanceId);
    logger.warn('dependency lost', {dependency: 'zone leader'});
  }

  private async tryBecomeLeader(rows: readonly TableRow[]): Promise<void> {
    const {self, table} = this.options;
    if (this.isSmallerThanLeader() && !this.hasDeferred) {
      this.hasDeferred = true;
      await sleep(SMALLER_INSTANCE_DELAY_MS);
      return;
    }
    await sleep(Math.random() * CANDIDACY_JITTER_MS);
    if (this.stopped) return;
    if (!this.isCandidate) {
      await sleep(TABLE_RETRY_MS);
      return;
    }
    if (await this.isIsolated()) {
      this.isolatedSinceMs ??= performance.now();
      const isolatedForMs = performance.now() - this.isolatedSinceMs;
      if (isolatedForMs < ISOLATED_DELAY_MS) {
        await sleep(TABLE_RETRY_MS);
        return;
      }
    } else {
      this.isolatedSinceMs = undefined;
    }
    const key = leaderKey(self.availabilityZone);
    const ifVersion = findRowVersion(rows, key);
    const {instances} = this.succession;
    const value = {...self, instances};
    const write = {kind: 'put' as const, key, ifVersion, value};
    const result = await table.batch([write], {atomic: true});
    if (result.err) await sleep(TABLE_RETRY_MS);
  }

  /**
   * Whether the leaders of all zones could not be reached, and none of them is
   * known to have ended.
   */
  private async isIsolated(): Promise<boolean> {
    const {self, network} = this.options;
    const own = this.leaders.get(self.availabilityZone);
    const others = this.otherLeaders;
    const hasOwn = own !== undefined && own.instanceId !== self.instanceId;
    if (!hasOwn || this.succession.endedLifeId || others.length === 0) {
      return false;
    }
    const attempts = others.map(async leader => {
      const isReached = await this.connect(leader, SOURCE_CONNECT_TIMEOUT_MS);
      if (isReached || network.wasRefused(leader.instanceId)) return;
      throw new Error(`leader ${leader.instanceId} is not reached`);
    });
    return Promise.any(attempts).then(
      () => false,
      () => true,
    );
  }

  /** Whether the last leader of the zone had more processor time. */
  private isSmallerThanLeader(): boolean {
    const {self} = this.options;
    const last = this.leaders.get(self.availabilityZone)?.processorShare;
    // Rows of earlier builds and settings without limits name none.
    if (last === undefined || self.processorShare === undefined) return false;
    return self.processorShare < last;
  }

  /**
   * Connects to a leader of another zone; returns whether it succeeded in time.
   */
  connect(leader: Leader, waitMs: number): Promise<boolean> {
    return this.connections.connect(leader, waitMs);
  }

  private isConnected({instanceId}: Leader): boolean {
    return this.connections.isConnected(instanceId);
  }
}
