/**
 * Replicates the configuration and keys to one instance from the store and peers.
 *
 * The instance reads the store every second and exchanges versions with its
 * peers every 200 ms. Stale, late or lost messages are harmless: versions only
 * increase, withdrawals only accumulate, and an instance that cannot be sure to
 * have the complete stored state refuses to serve.
 */
import type {FreshnessEvidence, Membership} from '@fireflytrack/membership';
import type {Result} from '@fireflytrack/result';
import type {PeerNetwork} from '@fireflytrack/wire';
import type {ConfigurationRepository} from './configuration-repository.js';
import type {
  ConfigurationSource,
  VersionedConfiguration,
} from './configuration-source.js';
import type {ReplicaVersions} from './distribution-messages.js';
import {LocalReplica} from './local-replica.js';
import type {DistributionLogger} from './local-replica.js';
import type {KeyRepository} from './key-repository.js';
import type {KeyError, KeyHolder, KeyStore} from './key-store.js';
import {PeerExchange} from './peer-exchange.js';
import {StartupCheck} from './startup-check.js';
import {StorePolling} from './store-polling.js';
import {VersionEvidence} from './version-evidence.js';

export interface DistributionOptions {
  repository: ConfigurationRepository;
  keys: KeyRepository;
  network: PeerNetwork;
  membership: Membership;
  evidence: FreshnessEvidence;
  logger: DistributionLogger;
  storeRegion: string;
  /** Evidence older than this makes the instance refuse to serve. */
  freshnessLimitMs: number;
  /** Whether to serve beyond that limit; changes then stay pending. */
  onIsolation: 'refuse' | 'serve';
}

export interface DistributionStatus extends ReplicaVersions {
  ready: boolean;
  mayServe: boolean;
  /** Undefined while there is no evidence. */
  ageMs: number | undefined;
  storeReadsFailing: boolean;
}

export class ConfigurationDistribution
  implements ConfigurationSource, KeyStore
{
  /** Configuration and keys of this instance. */
  readonly replica: LocalReplica;
  private readonly versionEvidence: VersionEvidence;
  private readonly exchange: PeerExchange;
  private readonly storePolling: StorePolling;
  private readonly startupCheck: StartupCheck;

  private constructor(private readonly options: DistributionOptions) {
    const {network, membership, storeRegion, logger} = options;
    this.replica = LocalReplica.create(logger);
    const isReady = () => this.isReady();
    this.versionEvidence = VersionEvidence.create({
      membership,
      storeRegion,
      isReplicaAtLeast: versions => this.replica.isAtLeast(versions),
      isReady,
    });
    this.exchange = PeerExchange.create({
      network,
      membership,
      replica: this.replica,
      versionEvidence: this.versionEvidence,
      ageMs: () => this.ageMs(),
      isReady,
    });
    this.storePolling = StorePolling.create({
      ...options,
      replica: this.replica,
      versionEvidence: this.versionEvidence,
    });
    this.startupCheck = StartupCheck.create({
      network,
      membership,
      exchange: this.exchange,
      polling: this.storePolling,
    });
  }

  static create(options: DistributionOptions): ConfigurationDistribution {
    return new ConfigurationDistribution(options);
  }

  /** Resolves after the first store read; `isReady` may become true later. */
  async start(): Promise<void> {
    this.exchange.start();
    this.storePolling.start();
    void this.startupCheck.run();
    await this.storePolling.poll();
  }

  stop(): void {
    this.startupCheck.stop();
    this.exchange.stop();
    this.storePolling.stop();
  }

  current(): VersionedConfiguration | undefined {
    return this.replica.current();
  }

  onChange(listener: (current: VersionedConfiguration) => void): void {
    this.replica.onChange(listener);
  }

  onWithdrawn(listener: (keyId: string) => void): void {
    this.replica.onWithdrawn(listener);
  }

  authenticate(presentedKey: string): Result<KeyHolder, KeyError> {
    return this.replica.authenticate(presentedKey);
  }

  /** The versions that each peer announced last. */
  get peerVersions(): ReadonlyMap<string, ReplicaVersions> {
    return this.exchange.peerVersions;
  }

  /** Whether the startup check has passed and a configuration is known. */
  isReady(): boolean {
    return this.startupCheck.hasPassed() && this.current() !== undefined;
  }

  /** Whether this instance is ready and its evidence is fresh enough to serve. */
  mayServe(): boolean {
    if (!this.isReady()) return false;
    if (this.options.onIsolation === 'serve') return true;
    return this.ageMs() <= this.options.freshnessLimitMs;
  }

  /** Upper bound of the time since this instance had the complete stored state. */
  ageMs(): number {
    const {evidence} = this.options;
    return Math.max(this.versionEvidence.ageMs(), evidence.ageMs());
  }

  status(): DistributionStatus {
    const ageMs = this.ageMs();
    return {
      ...this.replica.currentVersions(),
      ready: this.isReady(),
      mayServe: this.mayServe(),
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
      storeReadsFailing: this.versionEvidence.readsFailing,
    };
  }

  /** Reads the store immediately, outside the polling period. */
  async refresh(): Promise<void> {
    await this.storePolling.poll();
  }
}
