/**
 * Keeps this instance's part of the share ledger in the table service.
 *
 * The order of updates keeps every part in use by at most one instance: parts
 * are used only after the write that gave them was seen, and are given up
 * before the write that moves them. Each step is one compare-and-set.
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
  releasePartsTo,
  takeFreeParts,
} from './ledger-row.js';
import type {LedgerRow} from './ledger-row.js';
import {REQUEST_PARTS_KIND, LEDGER_CHANGED_KIND} from './limit-messages.js';
import {LEND_HOLD_MS, TOTAL_PARTS} from './micro-tokens.js';
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
   * Called with the usable parts at each change, before the ledger continues.
   */
  onUsableParts(parts: number): void;
  /** Number from 0 to below 1 that spreads the instances' reads over time. */
  random(): number;
}

// 40 instances that read once a second use 2% of the table's reads.
const CYCLE_MS = 1000;
const CYCLE_JITTER_MS = 400;
const RETRY_MS = 50;
// Absence from the instance list for this long shows that the owner ended.
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
   * Gives up the share at once and returns it to the ledger. Without a table
   * it stays in the row and is reclaimed after this instance left the list.
   */
  async stop(): Promise<void> {
    if (this.stopping) return;
    this.stopping = true;
    this.view.close();
    this.wakeup.wake();
    await this.running;
    await sleep(LEND_HOLD_MS);
    await this.returnShare();
  }

  /** Parts of the row as last seen; for estimates about peers only. */
  estimatePartsOf(instanceId: string): number {
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
      undecidedVersion: this.view.undecided ?? null,
    };
  }

  private async run(): Promise<void> {
    while (!this.stopping) {
      let waitMs = CYCLE_MS + (this.options.random() - 0.5) * CYCLE_JITTER_MS;
      try {
        if (await this.runStep())
          waitMs = RETRY_MS * (1 + this.options.random());
      } catch (error) {
        this.options.logger.error('ledger step failed', {
          message: String(error),
        });
      }
      if (!this.stopping) await this.wakeup.sleep(waitMs);
    }
  }

  /** Runs one step; returns true if another should follow soon. */
  private async runStep(): Promise<boolean> {
    if (!(await this.readRow())) return false;
    if (this.stopping) return false;
    if (this.view.undecided !== undefined) return this.resolveUndecidedWrite();
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
   * Advances the row past the version of a write without a response, so that
   * this write can no longer take effect.
   */
  private async resolveUndecidedWrite(): Promise<boolean> {
    const kept = this.view.usableParts();
    const next = releasePartsTo(this.view.row, this.selfId, kept);
    return (await this.write(next)) !== 'unavailable';
  }

  private async donateParts(target: number): Promise<boolean> {
    const live = new Set(this.options.membership.liveIds());
    const askers = [...this.partRequesters].filter(id => live.has(id));
    this.partRequesters.clear();
    const planned = planDonation(this.view.row, this.selfId, askers, target);
    if (planned.size === 0) return false;
    const given = [...planned.values()].reduce((sum, gift) => sum + gift, 0);
    this.view.lowerTo(this.view.usableParts() - given);
    // Tokens lent out of the given parts can be spent until this has passed.
    await sleep(LEND_HOLD_MS);
    const next = applyDonation(this.view.row, this.selfId, planned);
    const outcome = await this.write(next);
    if (outcome === 'written') {
      this.options.metrics.count('limits.parts_donated', {}, given);
      for (const id of planned.keys()) {
        this.options.network.send(id, LEDGER_CHANGED_KIND, {});
      }
    }
    return outcome !== 'unavailable';
  }

  private requestParts(): void {
    const live = this.options.membership.liveIds();
    const richer = findLargerOwners(this.view.row, this.selfId, live);
    if (richer.length === 0) return;
    // Spreads requesters that start together over the larger half of the
    // owners.
    const choice = this.options.random() * Math.ceil(richer.length / 2);
    const donor = richer[Math.floor(choice)]!;
    this.options.network.send(donor, REQUEST_PARTS_KIND, {});
  }

  private async reclaimAbandonedShare(): Promise<boolean> {
    const {membership} = this.options;
    const ranked = rankByRendezvous(RECLAIM_RANK_NAME, membership.liveIds());
    if (ranked[0] !== this.selfId) return false;
    for (const ownerId of Object.keys(this.view.row.owners)) {
      if (ownerId === this.selfId) continue;
      if (!membership.isGone(ownerId, OWNER_ABSENT_MS)) continue;
      if (
        !(await this.peerContacts.hasNoRecentContact(ownerId, OWNER_ABSENT_MS))
      )
        continue;
      const outcome = await this.write(
        releasePartsTo(this.view.row, ownerId, 0),
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
        // Instances below their target take the free parts now, not a cycle
        // later.
        this.options.network.broadcast(LEDGER_CHANGED_KIND, {});
        return;
      }
      if (known)
        await this.write(releasePartsTo(this.view.row, this.selfId, 0));
      await sleep(RETRY_MS * (1 + this.options.random()));
    }
    this.options.logger.warn('share not returned', {ledger: this.key});
  }

  private async write(next: LedgerRow): Promise<WriteOutcome> {
    const version = this.view.version;
    const current = version === 0 ? EMPTY_LEDGER : this.view.row;
    if (sumOfParts(next) !== sumOfParts(current)) {
      this.view.settleWrite();
      throw new Error(`ledger step from version ${version} loses parts`);
    }
    const result = await this.options.table.batch(
      [{kind: 'put', key: this.key, ifVersion: version, value: next}],
      {atomic: true},
    );
    if (result.err) return this.onWriteError(result.val.kind);
    const answer = result.val[0];
    if (answer?.applied) {
      this.view.observe(answer.version, next);
      this.view.settleWrite();
      return 'written';
    }
    // A refused write is void only once a newer row was seen: the refusal may
    // be caused by an earlier attempt of this write that took effect.
    if (answer?.current) this.applyTableRow(answer.current);
    if (this.view.version > version) this.view.settleWrite();
    else this.view.markUndecided();
    return 'conflict';
  }

  private onWriteError(kind: 'unavailable' | 'outcome-unknown'): WriteOutcome {
    if (kind === 'unavailable' && this.view.undecided === undefined) {
      this.view.settleWrite();
      return 'unavailable';
    }
    if (kind === 'outcome-unknown') this.view.markUndecided();
    return kind === 'unavailable' ? 'unavailable' : 'undecided';
  }
}

function sumOfParts(row: LedgerRow): number {
  const owned = Object.values(row.owners).reduce(
    (sum, parts) => sum + parts,
    0,
  );
  return owned + row.freeParts === TOTAL_PARTS ? TOTAL_PARTS : -1;
}
