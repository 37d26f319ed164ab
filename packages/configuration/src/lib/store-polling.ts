/**
 * Reads the stored head and key set every second and writes withdrawals to the
 * table that it lacks.
 */
import type {FreshnessEvidence, Membership} from '@fireflytrack/membership';
import {rankByRendezvous} from '@fireflytrack/membership';
import {sleep} from '@fireflytrack/time';
import type {ConfigurationRepository} from './configuration-repository.js';
import type {HeldState} from './held-state.js';
import type {KeyRepository} from './key-repository.js';
import type {KeySet} from './stored-rows.js';
import type {VersionEvidence} from './version-evidence.js';

export interface StorePollingOptions {
  repository: ConfigurationRepository;
  keys: KeyRepository;
  membership: Membership;
  evidence: FreshnessEvidence;
  held: HeldState;
  versionEvidence: VersionEvidence;
}

/**
 * `complete`: all that the store named is held here. `behind`: the store
 * answered, but the answer was older than what is held here or the text could
 * not be had; that is evidence neither of the store's state nor of an outage.
 */
type ReadResult = 'complete' | 'behind' | 'failed';

const POLL_PERIOD_MS = 1000;
const READ_TIMEOUT_MS = 1000;
// A timer that is late by more than this was held up by a pause of this
// process, which says nothing about the store.
const PAUSE_MS = 500;

export class StorePolling {
  /** Number of reads that were complete. */
  completeReads = 0;
  /** Number of reads that ended in any way, failures too. */
  finishedReads = 0;
  private stopped = false;
  private pollsWithUnstored = 0;

  private constructor(private readonly options: StorePollingOptions) {}

  static create(options: StorePollingOptions): StorePolling {
    return new StorePolling(options);
  }

  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopped = true;
  }

  /** Reads once; a late answer is still taken, but is no evidence. */
  async poll(): Promise<void> {
    const sentAtMs = performance.now();
    const reads = Promise.all([this.readKeys(), this.readHead()]);
    const timeout = sleep(READ_TIMEOUT_MS).then(() => ['failed' as const]);
    const results = await Promise.race([reads, timeout]);
    if (this.stopped) return;
    this.finishedReads += 1;
    const tookMs = performance.now() - sentAtMs;
    if (tookMs > READ_TIMEOUT_MS + PAUSE_MS) return;
    if (results.some(result => result === 'failed')) {
      this.options.evidence.recordRead(false, sentAtMs);
      this.options.versionEvidence.recordFailedRead(sentAtMs);
    } else if (results.every(result => result === 'complete')) {
      this.completeReads += 1;
      this.options.evidence.recordRead(true, sentAtMs);
      this.options.versionEvidence.recordCompleteRead(sentAtMs);
    } else {
      this.options.versionEvidence.readsFailing = false;
    }
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      await sleep(POLL_PERIOD_MS);
      if (!this.stopped) void this.poll();
    }
  }

  private async readKeys(): Promise<ReadResult> {
    const read = await this.options.keys.read();
    if (this.stopped || read.err) return 'failed';
    const stale = read.val.version < this.options.held.holdings().keySetVersion;
    this.options.held.takeKeySet(read.val);
    if (stale) return 'behind';
    void this.storeWithdrawals(read.val);
    return 'complete';
  }

  private async readHead(): Promise<ReadResult> {
    const {repository} = this.options;
    const head = await repository.readHead();
    if (this.stopped || head.err) return 'failed';
    const heldVersion = this.options.held.holdings().configurationVersion;
    const storedVersion = head.val?.version ?? 0;
    if (storedVersion < heldVersion) return 'behind';
    if (!head.val || storedVersion === heldVersion) return 'complete';
    const text = await repository.readText(head.val.objectKey);
    if (this.stopped) return 'failed';
    if (text.ok && text.val !== undefined) {
      this.options.held.takeText({...head.val, text: text.val});
    }
    const {configurationVersion} = this.options.held.holdings();
    return configurationVersion >= storedVersion ? 'complete' : 'behind';
  }

  /**
   * Writes withdrawals that an outage kept out of the table. Instances take
   * turns by rank, so that usually one of them writes.
   */
  private async storeWithdrawals(stored: KeySet): Promise<void> {
    const held = this.options.held.withdrawnIds();
    const missing = held.filter(id => !stored.withdrawn.includes(id));
    this.pollsWithUnstored =
      missing.length > 0 ? this.pollsWithUnstored + 1 : 0;
    if (missing.length === 0 || this.pollsWithUnstored <= this.rank()) return;
    const written = await this.options.keys.withdraw(missing);
    if (written.ok) this.options.held.takeKeySet(written.val);
  }

  private rank(): number {
    const {membership} = this.options;
    const {instanceId} = membership.self;
    const ranked = rankByRendezvous('withdrawals', membership.liveIds());
    return Math.max(0, ranked.indexOf(instanceId));
  }
}
