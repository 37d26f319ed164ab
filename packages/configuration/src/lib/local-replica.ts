/**
 * The local replica of configuration and keys. Whatever the source of an update,
 * versions only increase and withdrawals only accumulate.
 */
import type {Result} from '@fireflytrack/result';
import type {
  ConfigurationSource,
  VersionedConfiguration,
} from './configuration-source.js';
import type {ReplicaVersions} from './distribution-messages.js';
import {KeyRing} from './key-ring.js';
import type {KeyError, KeyHolder, KeyStore} from './key-store.js';
import type {KeySet, VersionedText} from './stored-rows.js';
import {VersionChain} from './version-chain.js';

/** The part of a winston logger that the distribution uses. */
export interface DistributionLogger {
  info(message: string, fields?: object): unknown;
  error(message: string, fields?: object): unknown;
}

/** Notified synchronously after the replica changed. */
export interface ReplicaListener {
  /** `withdrawn` contains the newly withdrawn key ids. */
  onReplicaChange(withdrawn: string[]): void;
}

export class LocalReplica implements ConfigurationSource, KeyStore {
  private readonly chain = VersionChain.create();
  private readonly keyRing = KeyRing.create();
  private readonly listeners: ((current: VersionedConfiguration) => void)[] =
    [];
  private readonly withdrawnListeners: ((keyId: string) => void)[] = [];
  private replicaListener: ReplicaListener | undefined;
  private installed: VersionedConfiguration | undefined;

  private constructor(private readonly logger: DistributionLogger) {}

  static create(logger: DistributionLogger): LocalReplica {
    return new LocalReplica(logger);
  }

  current(): VersionedConfiguration | undefined {
    return this.installed;
  }

  onChange(listener: (current: VersionedConfiguration) => void): void {
    this.listeners.push(listener);
    if (this.installed) listener(this.installed);
  }

  onWithdrawn(listener: (keyId: string) => void): void {
    this.withdrawnListeners.push(listener);
  }

  setReplicaListener(listener: ReplicaListener): void {
    this.replicaListener = listener;
  }

  authenticate(presentedKey: string): Result<KeyHolder, KeyError> {
    return this.keyRing.authenticate(presentedKey);
  }

  currentVersions(): ReplicaVersions {
    return {
      configurationVersion: this.chain.version,
      keySetVersion: this.keyRing.version,
      withdrawnDigest: this.keyRing.withdrawn.digest,
    };
  }

  /** Whether this replica is at least as new as `versions`. */
  isAtLeast(versions: ReplicaVersions): boolean {
    return (
      this.chain.version >= versions.configurationVersion &&
      this.keyRing.version >= versions.keySetVersion &&
      this.keyRing.withdrawn.isKnownSubset(versions.withdrawnDigest)
    );
  }

  /** Whether an instance with `versions` certainly rejects the key. */
  provesWithdrawn(versions: ReplicaVersions, keyId: string): boolean {
    return this.keyRing.withdrawn.provesContained(
      versions.withdrawnDigest,
      keyId,
    );
  }

  text(): VersionedText | undefined {
    return this.chain.current();
  }

  keySet(): KeySet {
    return this.keyRing.keySet();
  }

  withdrawnIds(): string[] {
    return this.keyRing.withdrawn.ids();
  }

  addWithdrawals(keyIds: readonly string[]): void {
    const {version} = this.keyRing;
    this.mergeKeySet({version, keys: [], withdrawn: [...keyIds]});
  }

  mergeKeySet(keySet: KeySet): void {
    const {version} = this.keyRing;
    const withdrawn = this.keyRing.merge(keySet);
    for (const keyId of withdrawn) {
      this.logger.info('team key withdrawn', {keyId});
      for (const listener of this.withdrawnListeners) listener(keyId);
    }
    if (withdrawn.length === 0 && this.keyRing.version === version) return;
    this.replicaListener?.onReplicaChange(withdrawn);
  }

  installText(candidate: VersionedText): void {
    const result = this.chain.install(candidate);
    if (result.err) {
      if (result.val.kind === 'not-newer') return;
      this.logger.error('configuration rejected', {...result.val});
      return;
    }
    const {version} = candidate;
    this.installed = {version, configuration: result.val};
    this.logger.info('configuration in use', {version});
    for (const listener of this.listeners) listener(this.installed);
    this.replicaListener?.onReplicaChange([]);
  }
}
