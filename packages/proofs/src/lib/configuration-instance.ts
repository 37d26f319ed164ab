/** The interface between the configuration fleet and its instances. */
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

/** The changes that an operator can make through one instance. */
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

/** The parts of a real or naive proxy instance that the fleet uses. */
export interface InstanceUnderTest {
  readonly changes: ChangeService;
  readonly keys: Pick<KeyStore, 'authenticate'>;
  start(): Promise<void>;
  stop(): void;
  version(): number;
  mayServe(): boolean;
}

export type InstanceFactory = (
  environment: InstanceEnvironment,
) => InstanceUnderTest;

export const FRESHNESS_LIMIT_MS = 4000;

const noop = () => undefined;
const silentLogger = {info: noop, error: noop};

/** Creates an instance that runs the real configuration distribution. */
export function createRealInstance(
  environment: InstanceEnvironment,
): InstanceUnderTest {
  const {table, objects} = environment;
  const options = {
    ...environment,
    repository: ConfigurationRepository.create(table, objects),
    keys: KeyRepository.create(table),
    // Always fresh: only the evidence of the distribution itself is under test.
    evidence: {recordRead: noop, ageMs: () => 0},
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
