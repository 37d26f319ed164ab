/**
 * Handles the operator changes that one instance receives: writes each to the
 * store and reports whether it is in force.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {ChangeTracker} from './change-tracker.js';
import type {ChangeState} from './change-tracker.js';
import type {
  ConfigurationDistribution,
  DistributionOptions,
} from './configuration-distribution.js';
import type {ConfigurationError} from './configuration-error.js';
import type {
  ChangeRequest,
  ConfigurationRepository,
} from './configuration-repository.js';
import type {KeyRepository} from './key-repository.js';
import {toReadError} from './stored-row-reader.js';
import type {ConfigurationHead} from './stored-rows.js';
import {keyIdSchema} from './stored-rows.js';

export interface VersionStatus extends ChangeState {
  version: number;
  changeId: string;
}

export interface IssueStatus extends ChangeState {
  keyId: string;
  /** The only plaintext copy of the key. */
  key: string;
}

export interface WithdrawalStatus extends ChangeState {
  keyId: string;
  /** False while the withdrawal is not in the table, but only on instances. */
  stored: boolean;
}

type ChangeResult<T> = Promise<Result<T, ConfigurationError>>;

export class ConfigurationChanges {
  private readonly repository: ConfigurationRepository;
  private readonly keys: KeyRepository;
  private readonly tracker: ChangeTracker;

  private constructor(
    private readonly distribution: ConfigurationDistribution,
    options: DistributionOptions,
  ) {
    this.repository = options.repository;
    this.keys = options.keys;
    this.tracker = ChangeTracker.create({
      ...options,
      peerVersions: distribution.peerVersions,
      ownVersions: () => distribution.replica.currentVersions(),
      provesWithdrawn: (versions, keyId) =>
        distribution.replica.provesWithdrawn(versions, keyId),
    });
  }

  static create(
    distribution: ConfigurationDistribution,
    options: DistributionOptions,
  ): ConfigurationChanges {
    return new ConfigurationChanges(distribution, options);
  }

  /** Creates a version, or returns the original outcome of a reused change id. */
  async apply(change: ChangeRequest): ChangeResult<VersionStatus> {
    const applied = await this.repository.apply(change);
    if (applied.err) return applied;
    await this.distribution.refresh();
    return Ok(this.toVersionStatus(applied.val));
  }

  /** Returns the state of a change, or undefined if it is not in the store. */
  async status(changeId: string): ChangeResult<VersionStatus | undefined> {
    const head = await this.repository.readChange(changeId);
    if (head.err) return Err(toReadError(head.val));
    return Ok(head.val && this.toVersionStatus(head.val));
  }

  async issueKey(
    teamName: string,
    changeId: string,
  ): ChangeResult<IssueStatus> {
    const teams = this.distribution.current()?.configuration.teams;
    if (!teams?.has(teamName)) {
      const message = `team "${teamName}" is not in the configuration`;
      return Err({kind: 'invalid', message});
    }
    const issued = await this.keys.issue(teamName, changeId);
    if (issued.err) return issued;
    await this.distribution.refresh();
    const {keyId, key, keySetVersion: version} = issued.val;
    const state = this.tracker.evaluate({kind: 'keys', version});
    return Ok({keyId, key, ...state});
  }

  /**
   * Withdraws a key everywhere. Peers are notified before the store is written,
   * so that a store outage does not delay them. The call is idempotent and
   * returns the progress of the withdrawal.
   */
  async withdrawKey(keyId: string): ChangeResult<WithdrawalStatus> {
    if (!keyIdSchema.safeParse(keyId).success) {
      const message = `"${keyId}" is not a key id of 16 hexadecimal digits`;
      return Err({kind: 'invalid', message});
    }
    this.distribution.replica.addWithdrawals([keyId]);
    const written = await this.keys.withdraw([keyId]);
    if (written.ok) this.distribution.replica.mergeKeySet(written.val);
    const stored = written.ok;
    const withdrawal = {kind: 'withdrawal' as const, keyId, stored};
    return Ok({keyId, stored, ...this.tracker.evaluate(withdrawal)});
  }

  private toVersionStatus(head: ConfigurationHead): VersionStatus {
    const {version, changeId} = head;
    const state = this.tracker.evaluate({kind: 'configuration', version});
    return {version, changeId, ...state};
  }
}
