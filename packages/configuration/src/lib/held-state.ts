/**
 * The configuration and keys that this instance holds. Whatever source offers
 * something, versions only grow and withdrawals only accumulate.
 */
import type {Result} from '@fireflytrack/result';
import type {
  ConfigurationSource,
  VersionedConfiguration,
} from './configuration-source.js';
import type {Holdings} from './distribution-messages.js';
import {KeyRing} from './key-ring.js';
import type {KeyError, KeyHolder, KeyStore} from './key-store.js';
import type {KeySet, VersionedText} from './stored-rows.js';
import {VersionChain} from './version-chain.js';

/** The part of a winston logger that the distribution uses. */
export interface DistributionLogger {
  info(message: string, fields?: object): unknown;
  error(message: string, fields?: object): unknown;
}

/** Told right after this instance took something new. */
export interface NewsListener {
  /** `withdrawn` are the key ids that are withdrawn from now on. */
  onNews(withdrawn: string[]): void;
}

export class HeldState implements ConfigurationSource, KeyStore {
  private readonly chain = VersionChain.create();
  private readonly ring = KeyRing.create();
  private readonly listeners: ((current: VersionedConfiguration) => void)[] =
    [];
  private readonly withdrawnListeners: ((keyId: string) => void)[] = [];
  private newsListener: NewsListener | undefined;
  private inUse: VersionedConfiguration | undefined;

  private constructor(private readonly logger: DistributionLogger) {}

  static create(logger: DistributionLogger): HeldState {
    return new HeldState(logger);
  }

  current(): VersionedConfiguration | undefined {
    return this.inUse;
  }

  onChange(listener: (current: VersionedConfiguration) => void): void {
    this.listeners.push(listener);
    if (this.inUse) listener(this.inUse);
  }

  onWithdrawn(listener: (keyId: string) => void): void {
    this.withdrawnListeners.push(listener);
  }

  setNewsListener(listener: NewsListener): void {
    this.newsListener = listener;
  }

  authenticate(presentedKey: string): Result<KeyHolder, KeyError> {
    return this.ring.authenticate(presentedKey);
  }

  holdings(): Holdings {
    return {
      configurationVersion: this.chain.version,
      keySetVersion: this.ring.version,
      withdrawnDigest: this.ring.withdrawn.digest,
    };
  }

  /** Whether this instance holds at least what `holdings` name. */
  holds(holdings: Holdings): boolean {
    return (
      this.chain.version >= holdings.configurationVersion &&
      this.ring.version >= holdings.keySetVersion &&
      this.ring.withdrawn.covers(holdings.withdrawnDigest)
    );
  }

  /** Whether an instance that holds `holdings` certainly refuses the key. */
  provesWithdrawn(holdings: Holdings, keyId: string): boolean {
    return this.ring.withdrawn.provesHeld(holdings.withdrawnDigest, keyId);
  }

  text(): VersionedText | undefined {
    return this.chain.current();
  }

  keySet(): KeySet {
    return this.ring.keySet();
  }

  withdrawnIds(): string[] {
    return this.ring.withdrawn.ids();
  }

  withdraw(keyIds: readonly string[]): void {
    const {version} = this.ring;
    this.takeKeySet({version, keys: [], withdrawn: [...keyIds]});
  }

  takeKeySet(keySet: KeySet): void {
    const {version} = this.ring;
    const withdrawn = this.ring.merge(keySet);
    for (const keyId of withdrawn) {
      this.logger.info('team key withdrawn', {keyId});
      for (const listener of this.withdrawnListeners) listener(keyId);
    }
    if (withdrawn.length === 0 && this.ring.version === version) return;
    this.newsListener?.onNews(withdrawn);
  }

  takeText(candidate: VersionedText): void {
    const offered = this.chain.offer(candidate);
    if (offered.err) {
      if (offered.val.kind === 'not-newer') return;
      this.logger.error('configuration rejected', {...offered.val});
      return;
    }
    const {version} = candidate;
    this.inUse = {version, configuration: offered.val};
    this.logger.info('configuration in use', {version});
    for (const listener of this.listeners) listener(this.inUse);
    this.newsListener?.onNews([]);
  }
}
