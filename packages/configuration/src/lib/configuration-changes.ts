/**
 * Changes by operators through one instance: each is made in the store and then
 * followed until it is in force.
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
  ApplyChange,
  ConfigurationRepository,
} from './configuration-repository.js';
import type {KeyRepository} from './key-repository.js';
import {readFailure} from './stored-row-reader.js';
import type {ConfigurationHead} from './stored-rows.js';
import {keyIdSchema} from './stored-rows.js';

export interface VersionStatus extends ChangeState {
  version: number;
  changeId: string;
}

export interface IssueStatus extends ChangeState {
  keyId: string;
  /** The only copy of the key in clear. */
  key: string;
}

export interface WithdrawalStatus extends ChangeState {
  keyId: string;
  /** False while the table does not answer; the instances hold it. */
  stored: boolean;
}

type Changed<T> = Promise<Result<T, ConfigurationError>>;

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
      peerHoldings: distribution.peerHoldings,
      ownHoldings: () => distribution.held.holdings(),
      provesWithdrawn: (holdings, keyId) =>
        distribution.held.provesWithdrawn(holdings, keyId),
    });
  }

  static create(
    distribution: ConfigurationDistribution,
    options: DistributionOptions,
  ): ConfigurationChanges {
    return new ConfigurationChanges(distribution, options);
  }

  /** Makes a new version, or gives the first outcome of the change id. */
  async apply(change: ApplyChange): Changed<VersionStatus> {
    const made = await this.repository.apply(change);
    if (made.err) return made;
    await this.distribution.refresh();
    return Ok(this.versionStatus(made.val));
  }

  /** The state of a change; undefined when the store has no such change. */
  async status(changeId: string): Changed<VersionStatus | undefined> {
    const made = await this.repository.readChange(changeId);
    if (made.err) return Err(readFailure(made.val));
    return Ok(made.val && this.versionStatus(made.val));
  }

  async issueKey(teamName: string, changeId: string): Changed<IssueStatus> {
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
   * Withdraws a key everywhere. The peers are told before the store is asked,
   * so that an outage of the store does not delay them. Asking again is safe
   * and tells how far the withdrawal is.
   */
  async withdrawKey(keyId: string): Changed<WithdrawalStatus> {
    if (!keyIdSchema.safeParse(keyId).success) {
      const message = `"${keyId}" is not a key id of 16 hexadecimal digits`;
      return Err({kind: 'invalid', message});
    }
    this.distribution.held.withdraw([keyId]);
    const written = await this.keys.withdraw([keyId]);
    if (written.ok) this.distribution.held.takeKeySet(written.val);
    const stored = written.ok;
    const requirement = {kind: 'withdrawal' as const, keyId, stored};
    return Ok({keyId, stored, ...this.tracker.evaluate(requirement)});
  }

  private versionStatus(made: ConfigurationHead): VersionStatus {
    const {version, changeId} = made;
    const state = this.tracker.evaluate({kind: 'configuration', version});
    return {version, changeId, ...state};
  }
}
