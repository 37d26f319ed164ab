/**
 * Operator changes through one instance: each is written to the store and then
 * tracked until it is in force.
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
  /** False while the table is unavailable and only instances have it. */
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

  /** Creates a version, or returns the original outcome of the change id. */
  async apply(change: ChangeRequest): ChangeResult<VersionStatus> {
    const made = await this.repository.apply(change);
    if (made.err) return made;
    await this.distribution.refresh();
    return Ok(this.toVersionStatus(made.val));
  }

  /** Returns the state of a change, or undefined if it is not in the store. */
  async status(changeId: string): ChangeResult<VersionStatus | undefined> {
    const made = await this.repository.readChange(changeId);
    if (made.err) return Err(toReadError(made.val));
    return Ok(made.val && this.toVersionStatus(made.val));
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
    const requirement = {kind: 'withdrawal' as const, keyId, stored};
    return Ok({keyId, stored, ...this.tracker.evaluate(requirement)});
  }

  private toVersionStatus(made: ConfigurationHead): VersionStatus {
    const {version, changeId} = made;
    const state = this.tracker.evaluate({kind: 'configuration', version});
    return {version, changeId, ...state};
  }
}
