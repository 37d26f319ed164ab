/**
 * Reads the stored head and key set every second and writes withdrawals that are
 * missing from the table.
 */
import type {FreshnessEvidence, Membership} from '@fireflytrack/membership';
import {rankByRendezvous} from '@fireflytrack/membership';
import {sleep} from '@fireflytrack/time';
import type {ConfigurationRepository} from './configuration-repository.js';
import type {LocalReplica} from './local-replica.js';
import type {KeyRepository} from './key-repository.js';
import type {KeySet} from './stored-rows.js';
import type {VersionEvidence} from './version-evidence.js';

export interface StorePollingOptions {
  repository: ConfigurationRepository;
  keys: KeyRepository;
  membership: Membership;
  evidence: FreshnessEvidence;
  replica: LocalReplica;
  versionEvidence: VersionEvidence;
}

/**
 * `complete`: the replica has everything the store reported. `behind`: the store
 * responded, but with older data than the replica's, or the text could not be
 * installed. Such a read proves neither freshness nor an outage.
 */
type ReadResult = 'complete' | 'behind' | 'failed';

const POLL_PERIOD_MS = 1000;
const READ_TIMEOUT_MS = 1000;
// A longer timer delay is caused by a pause of this process, so the read says
// nothing about the store.
const MAX_TIMER_DELAY_MS = 500;

export class StorePolling {
  /** Number of reads that were complete. */
  completeReads = 0;
  /** Number of finished reads, including failed ones. */
  finishedReads = 0;
  private stopped = false;
  private pollsWithMissingWithdrawals = 0;

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

  /** Reads once; a late response is applied, but does not count as evidence. */
  async poll(): Promise<void> {
    const sentAtMs = performance.now();
    const reads = Promise.all([this.readKeys(), this.readHead()]);
    const timeout = sleep(READ_TIMEOUT_MS).then(() => ['failed' as const]);
    const results = await Promise.race([reads, timeout]);
    if (this.stopped) return;
    this.finishedReads += 1;
    const tookMs = performance.now() - sentAtMs;
    if (tookMs > READ_TIMEOUT_MS + MAX_TIMER_DELAY_MS) return;
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
    const isStale =
      read.val.version < this.options.replica.currentVersions().keySetVersion;
    this.options.replica.mergeKeySet(read.val);
    if (isStale) return 'behind';
    void this.storeWithdrawals(read.val);
    return 'complete';
  }

  private async readHead(): Promise<ReadResult> {
    const {repository} = this.options;
    const head = await repository.readHead();
    if (this.stopped || head.err) return 'failed';
    const localVersion =
      this.options.replica.currentVersions().configurationVersion;
    const storedVersion = head.val?.version ?? 0;
    if (storedVersion < localVersion) return 'behind';
    if (!head.val || storedVersion === localVersion) return 'complete';
    const text = await repository.readText(head.val.objectKey);
    if (this.stopped) return 'failed';
    if (text.ok && text.val !== undefined) {
      this.options.replica.installText({...head.val, text: text.val});
    }
    const {configurationVersion} = this.options.replica.currentVersions();
    return configurationVersion >= storedVersion ? 'complete' : 'behind';
  }

  /**
   * Writes withdrawals that are missing from the table after an outage. Each
   * instance first waits as many polls as its rank, so that usually only one
   * writes.
   */
  private async storeWithdrawals(stored: KeySet): Promise<void> {
    const withdrawnIds = this.options.replica.withdrawnIds();
    const missing = withdrawnIds.filter(id => !stored.withdrawn.includes(id));
    this.pollsWithMissingWithdrawals =
      missing.length > 0 ? this.pollsWithMissingWithdrawals + 1 : 0;
    if (
      missing.length === 0 ||
      this.pollsWithMissingWithdrawals <= this.computeRank()
    )
      return;
    const written = await this.options.keys.withdraw(missing);
    if (written.ok) this.options.replica.mergeKeySet(written.val);
  }

  private computeRank(): number {
    const {membership} = this.options;
    const {instanceId} = membership.self;
    const ranked = rankByRendezvous('withdrawals', membership.liveIds());
    return Math.max(0, ranked.indexOf(instanceId));
  }
}
