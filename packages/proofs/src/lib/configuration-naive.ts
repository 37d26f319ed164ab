/**
 * Naive variants of the configuration distribution. Each lacks one rule, and
 * the checkers must detect the resulting violations.
 */
import {
  ConfigurationRepository,
  KeyRepository,
} from '@fireflytrack/configuration';
import type {
  ConfigurationHead,
  KeyHolder,
  KeySet,
} from '@fireflytrack/configuration';
import type {
  BatchOptions,
  TableOperation,
  TableService,
} from '@fireflytrack/platform';
import {Err, Ok} from '@fireflytrack/result';
import {sleep} from '@fireflytrack/time';
import {createRealInstance} from './configuration-instance.js';
import type {
  ChangeService,
  InstanceEnvironment,
  InstanceUnderTest,
} from './configuration-instance.js';

const POLL_PERIOD_MS = 1000;

/**
 * Accepts any version that the store returns, serves without evidence of
 * freshness and learns of withdrawals only by polling.
 */
export function createPollingInstance(
  environment: InstanceEnvironment,
): InstanceUnderTest {
  const {table, objects} = environment;
  const repository = ConfigurationRepository.create(table, objects);
  const keys = KeyRepository.create(table);
  let version = 0;
  let keySet: KeySet = {version: 0, keys: [], withdrawn: []};
  let stopped = false;
  const poll = async () => {
    const [head, keysRead] = await Promise.all([
      repository.readHead(),
      keys.read(),
    ]);
    if (head.ok && head.val) version = head.val.version;
    if (keysRead.ok) keySet = keysRead.val;
  };
  const run = async () => {
    while (!stopped) {
      void poll();
      await sleep(POLL_PERIOD_MS);
    }
  };
  return {
    changes: createStoreOnlyChanges(repository, keys),
    keys: {authenticate: presented => findHolderByKeyId(keySet, presented)},
    start: run,
    stop: () => (stopped = true),
    version: () => version,
    mayServe: () => version > 0,
  };
}

/** Reports a change as in force as soon as it is stored. */
function createStoreOnlyChanges(
  repository: ConfigurationRepository,
  keys: KeyRepository,
): ChangeService {
  const state = {
    state: 'in_force' as const,
    confirmed: [],
    fenced: [],
    missing: [],
  };
  const toStatus = ({version, changeId}: ConfigurationHead) => ({
    version,
    changeId,
    ...state,
  });
  return {
    apply: async change => (await repository.apply(change)).map(toStatus),
    status: async changeId => {
      const change = await repository.readChange(changeId);
      return change
        .map(head => head && toStatus(head))
        .mapErr(({message}) => ({kind: 'store-unavailable', message}));
    },
    issueKey: async (team, changeId) =>
      (await keys.issue(team, changeId)).map(issued => ({...issued, ...state})),
    withdrawKey: async keyId =>
      (await keys.withdraw([keyId])).map(() => ({
        keyId,
        stored: true,
        ...state,
      })),
  };
}

/** Finds the team by the key id alone and ignores the secret. */
function findHolderByKeyId(keySet: KeySet, presented: string) {
  const keyId = presented.split('_')[1] ?? '';
  const record = keySet.keys.find(key => key.keyId === keyId);
  if (!record) return Err({kind: 'unknown' as const});
  if (keySet.withdrawn.includes(keyId)) {
    return Err({kind: 'withdrawn' as const});
  }
  const holder: KeyHolder = {keyId, teamName: record.teamName};
  return Ok(holder);
}

/** Writes whatever the row version is, without compare-and-set. */
export function createUnconditionalWriteInstance(
  environment: InstanceEnvironment,
): InstanceUnderTest {
  const {table} = environment;
  const unconditionalTable: TableService = {
    get: key => table.get(key),
    scan: (prefix, limit) => table.scan(prefix, limit),
    batch: async (operations, options) => {
      const unconditional = await Promise.all(
        operations.map(operation => withCurrentVersion(table, operation)),
      );
      return table.batch(unconditional, options satisfies BatchOptions);
    },
  };
  return createRealInstance({...environment, table: unconditionalTable});
}

/** Replaces the expected version of a write by the current row version. */
async function withCurrentVersion(
  table: TableService,
  operation: TableOperation,
): Promise<TableOperation> {
  const row = await table.get(operation.key);
  if (row.err) return operation;
  return {...operation, ifVersion: row.val?.version ?? 0} as TableOperation;
}

/** Serves even when its evidence of freshness is too old. */
export function createUnfencedInstance(
  environment: InstanceEnvironment,
): InstanceUnderTest {
  const instance = createRealInstance(environment);
  return {...instance, mayServe: () => instance.version() > 0};
}
