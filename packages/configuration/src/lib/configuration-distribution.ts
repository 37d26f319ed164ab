/**
 * The configuration and keys of one instance, spread by the store and by peers.
 *
 * The instance reads the store every second and exchanges versions with its
 * peers every 200 ms. Every source may be old, late or lost without harm:
 * versions only grow, withdrawals only accumulate, and an instance that cannot
 * be sure to hold what is stored refuses to serve.
 */
import type {FreshnessEvidence, Membership} from '@fireflytrack/membership';
import type {Result} from '@fireflytrack/result';
import type {PeerNetwork} from '@fireflytrack/wire';
import type {ConfigurationRepository} from './configuration-repository.js';
import type {
  ConfigurationSource,
  VersionedConfiguration,
} from './configuration-source.js';
import type {Holdings} from './distribution-messages.js';
import {HeldState} from './held-state.js';
import type {DistributionLogger} from './held-state.js';
import type {KeyRepository} from './key-repository.js';
import type {KeyError, KeyHolder, KeyStore} from './key-store.js';
import {PeerExchange} from './peer-exchange.js';
import {StartRule} from './start-rule.js';
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
  /** Age of the evidence over which the instance refuses to serve. */
  freshnessLimitMs: number;
  /** Whether to serve beyond that limit; changes then stay pending. */
  onIsolation: 'refuse' | 'serve';
}

export interface DistributionStatus extends Holdings {
  ready: boolean;
  mayServe: boolean;
  /** Undefined while there is no evidence. */
  ageMs: number | undefined;
  storeReadsFailing: boolean;
}

export class ConfigurationDistribution
  implements ConfigurationSource, KeyStore
{
  /** What this instance holds now. */
  readonly held: HeldState;
  private readonly versionEvidence: VersionEvidence;
  private readonly exchange: PeerExchange;
  private readonly polling: StorePolling;
  private readonly startRule: StartRule;

  private constructor(private readonly options: DistributionOptions) {
    const {network, membership, storeRegion, logger} = options;
    this.held = HeldState.create(logger);
    const isReady = () => this.isReady();
    this.versionEvidence = VersionEvidence.create({
      membership,
      storeRegion,
      holds: holdings => this.held.holds(holdings),
      isReady,
    });
    this.exchange = PeerExchange.create({
      network,
      membership,
      held: this.held,
      versionEvidence: this.versionEvidence,
      ageMs: () => this.ageMs(),
      isReady,
    });
    this.polling = StorePolling.create({
      ...options,
      held: this.held,
      versionEvidence: this.versionEvidence,
    });
    this.startRule = StartRule.create({
      network,
      membership,
      exchange: this.exchange,
      polling: this.polling,
    });
  }

  static create(options: DistributionOptions): ConfigurationDistribution {
    return new ConfigurationDistribution(options);
  }

  /** Returns after the first read of the store; `isReady` may come later. */
  async start(): Promise<void> {
    this.exchange.start();
    this.polling.start();
    void this.startRule.run();
    await this.polling.poll();
  }

  stop(): void {
    this.startRule.stop();
    this.exchange.stop();
    this.polling.stop();
  }

  current(): VersionedConfiguration | undefined {
    return this.held.current();
  }

  onChange(listener: (current: VersionedConfiguration) => void): void {
    this.held.onChange(listener);
  }

  onWithdrawn(listener: (keyId: string) => void): void {
    this.held.onWithdrawn(listener);
  }

  authenticate(presentedKey: string): Result<KeyHolder, KeyError> {
    return this.held.authenticate(presentedKey);
  }

  /** What each peer said last that it holds. */
  get peerHoldings(): ReadonlyMap<string, Holdings> {
    return this.exchange.peerHoldings;
  }

  /** Whether the start rule is met and a configuration is known. */
  isReady(): boolean {
    return this.startRule.isFulfilled() && this.current() !== undefined;
  }

  /** Whether this instance may serve: ready, and not cut off from the store. */
  mayServe(): boolean {
    if (!this.isReady()) return false;
    if (this.options.onIsolation === 'serve') return true;
    return this.ageMs() <= this.options.freshnessLimitMs;
  }

  /** Upper bound of the time since all that was stored was held here. */
  ageMs(): number {
    const {evidence} = this.options;
    return Math.max(this.versionEvidence.ageMs(), evidence.ageMs());
  }

  status(): DistributionStatus {
    const ageMs = this.ageMs();
    return {
      ...this.held.holdings(),
      ready: this.isReady(),
      mayServe: this.mayServe(),
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
      storeReadsFailing: this.versionEvidence.readsFailing,
    };
  }

  /** Reads the store now, outside the period. */
  async refresh(): Promise<void> {
    await this.polling.poll();
  }
}
