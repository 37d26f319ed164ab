/**
 * Acquires, transfers and returns this instance's share in the share ledger, a
 * row of the table service.
 *
 * At most one instance uses a part at any time: an instance uses parts only
 * after it has seen the write that assigned them to it, and stops using them
 * before the write that transfers them. Each step is one compare-and-set.
 */
import type {Membership} from '@fireflytrack/membership';
import {rankByRendezvous} from '@fireflytrack/membership';
import type {TableRow, TableService} from '@fireflytrack/platform';
import type {Logger, Metrics} from '@fireflytrack/telemetry';
import type {PeerNetwork} from '@fireflytrack/wire';
import {sleep} from '@fireflytrack/time';
import {PeerContacts} from './peer-contacts.js';
import {
  applyDonation,
  computeEvenShare,
  isBelowTarget,
  planDonation,
  findLargerOwners,
} from './ledger-plan.js';
import {
  EMPTY_LEDGER,
  ledgerKey,
  ledgerRowSchema,
  getOwnedParts,
  releasePartsAbove,
  takeFreeParts,
} from './ledger-row.js';
import type {LedgerRow} from './ledger-row.js';
import {REQUEST_PARTS_KIND, LEDGER_CHANGED_KIND} from './limit-messages.js';
import {LOAN_EXPIRY_WAIT_MS, TOTAL_PARTS} from './micro-tokens.js';
import {ShareView} from './share-view.js';
import {Wakeup} from './wakeup.js';

export interface ShareLedgerOptions {
  network: PeerNetwork;
  membership: Membership;
  table: TableService;
  logger: Logger;
  metrics: Metrics;
  shard: number;
  /**
   * Called synchronously with the usable parts on each change, before the next
   * step.
   */
  onUsableParts(parts: number): void;
  /**
   * Returns a number in [0, 1); spreads the reads of the instances over time.
   */
  random(): number;
}

// 40 instances that read once per second use 2% of the table's read capacity.
const CYCLE_MS = 1000;
const CYCLE_JITTER_MS = 400;
const RETRY_MS = 50;
// An owner that was absent from the instance list for this long is taken to
// have ended.
const OWNER_ABSENT_MS = 30_000;
const RETURN_ATTEMPTS = 5;
const RECLAIM_RANK_NAME = 'limits/reclaim';

type WriteOutcome = 'written' | 'conflict' | 'unavailable' | 'undecided';

export class ShareLedger {
  private readonly key: string;
  private readonly selfId: string;
  private readonly view: ShareView;
  private readonly peerContacts: PeerContacts;
  private readonly partRequesters = new Set<string>();
  private readonly wakeup = Wakeup.create();
  private running: Promise<void> | undefined;
  private stopping = false;

  private constructor(private readonly options: ShareLedgerOptions) {
    const {network, membership} = options;
    this.key = ledgerKey(options.shard);
    this.selfId = network.self.instanceId;
    this.view = ShareView.create(this.selfId, options.onUsableParts);
    this.peerContacts = PeerContacts.create(network, membership);
    network.onMessage(REQUEST_PARTS_KIND, from => {
      this.peerContacts.recordContact(from.instanceId);
      this.partRequesters.add(from.instanceId);
      this.wakeup.wake();
    });
    network.onMessage(LEDGER_CHANGED_KIND, from => {
      this.peerContacts.recordContact(from.instanceId);
      this.wakeup.wake();
    });
  }

  static create(options: ShareLedgerOptions): ShareLedger {
    return new ShareLedger(options);
  }

  start(): void {
    this.running ??= this.run();
  }

  /**
   * Stops using the share immediately and returns it to the ledger. If the
   * table is unavailable, the share remains in the row and another instance
   * reclaims it after this one has left the instance list.
   */
  async stop(): Promise<void> {
    if (this.stopping) return;
    this.stopping = true;
    this.view.close();
    this.wakeup.wake();
    await this.running;
    await sleep(LOAN_EXPIRY_WAIT_MS);
    await this.returnShare();
  }

  /** Owned parts in the row as last seen; only for estimates about peers. */
  lastSeenPartsOf(instanceId: string): number {
    return getOwnedParts(this.view.row, instanceId);
  }

  usableParts(): number {
    return this.view.usableParts();
  }

  recordContact(instanceId: string): void {
    this.peerContacts.recordContact(instanceId);
  }

  state(): Record<string, unknown> {
    return {
      version: this.view.version,
      usableParts: this.view.usableParts(),
      ownedParts: getOwnedParts(this.view.row, this.selfId),
      freeParts: this.view.row.freeParts,
      owners: Object.keys(this.view.row.owners).length,
      undecidedVersion: this.view.undecidedWriteVersion ?? null,
    };
  }

  private async run(): Promise<void> {
    while (!this.stopping) {
      let waitMs = CYCLE_MS + (this.options.random() - 0.5) * CYCLE_JITTER_MS;
      try {
        if (await this.runStep())
          waitMs = RETRY_MS * (1 + this.options.random());
      } catch (error) {
        this.options.logger.error('share ledger step failed', {
          message: String(error),
        });
      }
      if (!this.stopping) await this.wakeup.sleep(waitMs);
    }
  }

  /** Runs one step; returns whether the next one should follow soon. */
  private async runStep(): Promise<boolean> {
    if (!(await this.readRow())) return false;
    if (this.stopping) return false;
    if (this.view.undecidedWriteVersion !== undefined)
      return this.resolveUndecidedWrite();
    const row = this.view.row;
    const target = computeEvenShare(this.options.membership.liveIds().length);
    const own = getOwnedParts(row, this.selfId);
    if (row.freeParts > 0 && own < target) {
      const next = takeFreeParts(row, this.selfId, target - own);
      return (await this.write(next)) !== 'unavailable';
    }
    if (this.partRequesters.size > 0) return this.donateParts(target);
    if (await this.reclaimAbandonedShare()) return true;
    if (isBelowTarget(own, target)) this.requestParts();
    return false;
  }

  private async readRow(): Promise<boolean> {
    const result = await this.options.table.get(this.key);
    if (result.err) return false;
    if (!result.val) return true;
    return this.applyTableRow(result.val);
  }

  private applyTableRow(row: TableRow): boolean {
    const parsed = ledgerRowSchema.safeParse(row.value);
    if (!parsed.success) {
      const message = parsed.error.message;
      this.options.logger.error('share ledger row is invalid', {message});
      return false;
    }
    this.view.observe(row.version, parsed.data);
    return true;
  }

  /**
   * Writes the row again, so that a write with an unknown outcome, which was
   * based on an older version, can no longer take effect.
   */
  private async resolveUndecidedWrite(): Promise<boolean> {
    const kept = this.view.usableParts();
    const next = releasePartsAbove(this.view.row, this.selfId, kept);
    return (await this.write(next)) !== 'unavailable';
  }

  private async donateParts(target: number): Promise<boolean> {
    const live = new Set(this.options.membership.liveIds());
    const requesterIds = [...this.partRequesters].filter(id => live.has(id));
    this.partRequesters.clear();
    const planned = planDonation(
      this.view.row,
      this.selfId,
      requesterIds,
      target,
    );
    if (planned.size === 0) return false;
    const donated = [...planned.values()].reduce(
      (sum, parts) => sum + parts,
      0,
    );
    this.view.lowerTo(this.view.usableParts() - donated);
    // Until then, tokens lent from the donated parts can still be spent.
    await sleep(LOAN_EXPIRY_WAIT_MS);
    const next = applyDonation(this.view.row, this.selfId, planned);
    const outcome = await this.write(next);
    if (outcome === 'written') {
      this.options.metrics.count('limits.parts_donated', {}, donated);
      for (const id of planned.keys()) {
        this.options.network.send(id, LEDGER_CHANGED_KIND, {});
      }
    }
    return outcome !== 'unavailable';
  }

  private requestParts(): void {
    const live = this.options.membership.liveIds();
    const largerOwners = findLargerOwners(this.view.row, this.selfId, live);
    if (largerOwners.length === 0) return;
    // Distributes requesters that start at the same time over the upper half of
    // the larger owners.
    const choice = this.options.random() * Math.ceil(largerOwners.length / 2);
    const donor = largerOwners[Math.floor(choice)]!;
    this.options.network.send(donor, REQUEST_PARTS_KIND, {});
  }

  private async reclaimAbandonedShare(): Promise<boolean> {
    const {membership} = this.options;
    const ranked = rankByRendezvous(RECLAIM_RANK_NAME, membership.liveIds());
    if (ranked[0] !== this.selfId) return false;
    for (const ownerId of Object.keys(this.view.row.owners)) {
      if (ownerId === this.selfId) continue;
      if (!membership.hasEnded(ownerId, OWNER_ABSENT_MS)) continue;
      if (
        !(await this.peerContacts.hasNoRecentContact(ownerId, OWNER_ABSENT_MS))
      )
        continue;
      const outcome = await this.write(
        releasePartsAbove(this.view.row, ownerId, 0),
      );
      if (outcome !== 'written') return false;
      this.options.logger.info('share reclaimed', {ownerId});
      return true;
    }
    return false;
  }

  private async returnShare(): Promise<void> {
    for (let attempt = 0; attempt < RETURN_ATTEMPTS; attempt += 1) {
      const known = await this.readRow();
      if (known && getOwnedParts(this.view.row, this.selfId) === 0) {
        // Lets instances below their target take the free parts immediately
        // instead of in their next cycle.
        this.options.network.broadcast(LEDGER_CHANGED_KIND, {});
        return;
      }
      if (known)
        await this.write(releasePartsAbove(this.view.row, this.selfId, 0));
      await sleep(RETRY_MS * (1 + this.options.random()));
    }
    this.options.logger.warn('share not returned', {ledger: this.key});
  }

  private async write(next: LedgerRow): Promise<WriteOutcome> {
    const version = this.view.version;
    const current = version === 0 ? EMPTY_LEDGER : this.view.row;
    if (checkTotalParts(next) !== checkTotalParts(current)) {
      this.view.settleWrite();
      throw new Error(
        `ledger step from version ${version} changes the total of parts`,
      );
    }
    const result = await this.options.table.batch(
      [{kind: 'put', key: this.key, ifVersion: version, value: next}],
      {atomic: true},
    );
    if (result.err) return this.onWriteError(result.val.kind);
    const response = result.val[0];
    if (response?.applied) {
      this.view.observe(response.version, next);
      this.view.settleWrite();
      return 'written';
    }
    // A refused write is known to have no effect only once a newer row was
    // seen: an earlier attempt of this write may have taken effect and caused
    // the refusal.
    if (response?.current) this.applyTableRow(response.current);
    if (this.view.version > version) this.view.settleWrite();
    else this.view.markWriteUndecided();
    return 'conflict';
  }

  private onWriteError(kind: 'unavailable' | 'outcome-unknown'): WriteOutcome {
    if (
      kind === 'unavailable' &&
      this.view.undecidedWriteVersion === undefined
    ) {
      this.view.settleWrite();
      return 'unavailable';
    }
    if (kind === 'outcome-unknown') this.view.markWriteUndecided();
    return kind === 'unavailable' ? 'unavailable' : 'undecided';
  }
}

/** Returns `TOTAL_PARTS`, or -1 if the parts of the row do not add up to it. */
function checkTotalParts(row: LedgerRow): number {
  const owned = Object.values(row.owners).reduce(
    (sum, parts) => sum + parts,
    0,
  );
  return owned + row.freeParts === TOTAL_PARTS ? TOTAL_PARTS : -1;
}
