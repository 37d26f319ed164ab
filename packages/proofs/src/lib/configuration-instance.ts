/** An instance as the fleet of the configuration proofs runs it. */
import {
  ConfigurationChanges,
  ConfigurationDistribution,
  ConfigurationRepository,
  KeyRepository,
} from '@fireflytrack/configuration';
import type {
  ChangeRequest,
  ConfigurationError,
  IssueStatus,
  KeyStore,
  VersionStatus,
  WithdrawalStatus,
} from '@fireflytrack/configuration';
import type {FixedMembership} from '@fireflytrack/membership';
import type {ObjectStore, TableService} from '@fireflytrack/platform';
import type {Result} from '@fireflytrack/result';
import type {PeerNetwork} from '@fireflytrack/wire';

export interface InstanceEnvironment {
  table: TableService;
  objects: ObjectStore;
  network: PeerNetwork;
  membership: FixedMembership;
  storeRegion: string;
}

/** Operators' changes through one instance. */
export interface ChangeService {
  apply(
    change: ChangeRequest,
  ): Promise<Result<VersionStatus, ConfigurationError>>;
  status(
    changeId: string,
  ): Promise<Result<VersionStatus | undefined, ConfigurationError>>;
  issueKey(
    team: string,
    changeId: string,
  ): Promise<Result<IssueStatus, ConfigurationError>>;
  withdrawKey(
    keyId: string,
  ): Promise<Result<WithdrawalStatus, ConfigurationError>>;
}

/** What the fleet watches of a proxy instance, real or naive. */
export interface ProofInstance {
  readonly changes: ChangeService;
  readonly keys: Pick<KeyStore, 'authenticate'>;
  start(): Promise<void>;
  stop(): void;
  version(): number;
  mayServe(): boolean;
}

export type InstanceFactory = (
  environment: InstanceEnvironment,
) => ProofInstance;

export const FRESHNESS_LIMIT_MS = 4000;

const ignore = () => undefined;
const silentLogger = {info: ignore, error: ignore};

export function realInstance(environment: InstanceEnvironment): ProofInstance {
  const {table, objects} = environment;
  const options = {
    ...environment,
    repository: ConfigurationRepository.create(table, objects),
    keys: KeyRepository.create(table),
    // The distribution's own evidence is proved; this one never limits it.
    evidence: {recordRead: ignore, ageMs: () => 0},
    logger: silentLogger,
    freshnessLimitMs: FRESHNESS_LIMIT_MS,
    onIsolation: 'refuse' as const,
  };
  const distribution = ConfigurationDistribution.create(options);
  return {
    changes: ConfigurationChanges.create(distribution, options),
    keys: distribution,
    start: () => distribution.start(),
    stop: () => distribution.stop(),
    version: () => distribution.current()?.version ?? 0,
    mayServe: () => distribution.mayServe(),
  };
}
