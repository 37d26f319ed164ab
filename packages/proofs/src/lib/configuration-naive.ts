/**
 * Naive variants of the configuration slice. Each lacks one rule, and the
 * checkers must find what goes wrong without it.
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
import {realInstance} from './configuration-instance.js';
import type {
  ChangeService,
  InstanceEnvironment,
  ProofInstance,
} from './configuration-instance.js';

const POLL_PERIOD_MS = 1000;

/**
 * Takes whatever the store shows, serves without evidence of freshness and
 * hears of withdrawals by polling only.
 */
export function pollingInstance(
  environment: InstanceEnvironment,
): ProofInstance {
  const {table, objects} = environment;
  const repository = ConfigurationRepository.create(table, objects);
  const keys = KeyRepository.create(table);
  let version = 0;
  let keySet: KeySet = {version: 0, keys: [], withdrawn: []};
  let stopped = false;
  const poll = async () => {
    const [head, read] = await Promise.all([
      repository.readHead(),
      keys.read(),
    ]);
    if (head.ok && head.val) version = head.val.version;
    if (read.ok) keySet = read.val;
  };
  const run = async () => {
    while (!stopped) {
      void poll();
      await sleep(POLL_PERIOD_MS);
    }
  };
  return {
    changes: storeOnlyChanges(repository, keys),
    keys: {authenticate: presented => holderById(keySet, presented)},
    start: run,
    stop: () => (stopped = true),
    version: () => version,
    mayServe: () => version > 0,
  };
}

/** A change counts as in force as soon as the store has it. */
function storeOnlyChanges(
  repository: ConfigurationRepository,
  keys: KeyRepository,
): ChangeService {
  const state = {
    state: 'in_force' as const,
    confirmed: [],
    fenced: [],
    missing: [],
  };
  const statusOf = ({version, changeId}: ConfigurationHead) => ({
    version,
    changeId,
    ...state,
  });
  return {
    apply: async change => (await repository.apply(change)).map(statusOf),
    status: async changeId => {
      const made = await repository.readChange(changeId);
      return made
        .map(head => head && statusOf(head))
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

/** Finds the team by the key id alone and never looks at the secret. */
function holderById(keySet: KeySet, presented: string) {
  const keyId = presented.split('_')[1] ?? '';
  const record = keySet.keys.find(key => key.keyId === keyId);
  if (!record) return Err({kind: 'unknown' as const});
  if (keySet.withdrawn.includes(keyId)) {
    return Err({kind: 'withdrawn' as const});
  }
  const holder: KeyHolder = {keyId, teamName: record.teamName};
  return Ok(holder);
}

/** Writes without the condition on the version that was read. */
export function unconditionalInstance(
  environment: InstanceEnvironment,
): ProofInstance {
  const {table} = environment;
  const blind: TableService = {
    get: key => table.get(key),
    scan: (prefix, limit) => table.scan(prefix, limit),
    batch: async (operations, options) => {
      const forced = await Promise.all(
        operations.map(operation => withoutCondition(table, operation)),
      );
      return table.batch(forced, options satisfies BatchOptions);
    },
  };
  return realInstance({...environment, table: blind});
}

async function withoutCondition(
  table: TableService,
  operation: TableOperation,
): Promise<TableOperation> {
  const row = await table.get(operation.key);
  if (row.err) return operation;
  return {...operation, ifVersion: row.val?.version ?? 0} as TableOperation;
}

/** Serves whatever the age of its evidence is. */
export function unfencedInstance(
  environment: InstanceEnvironment,
): ProofInstance {
  const instance = realInstance(environment);
  return {...instance, mayServe: () => instance.version() > 0};
}
