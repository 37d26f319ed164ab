/** Guards against lost, duplicate or reverted configuration and key changes. */
import {MemoryObjectStore, MemoryTable} from '@fireflytrack/platform';
import {expect} from 'earl';
import {beforeEach, describe, it} from 'node:test';
import {ConfigurationRepository, KeyRepository} from '../index.js';

const configurationText = (name: string) =>
  `[fleet]\nschema_version = 1\nname = ${name}\nmax_instances = 4\n`;

let table: MemoryTable;
let repository: ConfigurationRepository;
let keys: KeyRepository;

beforeEach(() => {
  table = MemoryTable.create();
  repository = ConfigurationRepository.create(
    table,
    MemoryObjectStore.create(),
  );
  keys = KeyRepository.create(table);
});

function makeChange(name: string, baseVersion: number, changeId = name) {
  return {text: configurationText(name), baseVersion, changeId};
}

describe('ConfigurationRepository', () => {
  it('accepts one of two concurrent changes and rejects the other with a conflict', async () => {
    const results = await Promise.all([
      repository.apply(makeChange('a', 0)),
      repository.apply(makeChange('b', 0)),
    ]);
    const rejected = results.filter(result => result.err);
    expect(rejected.length).toEqual(1);
    expect(rejected[0]?.val).toEqual({
      kind: 'conflict',
      currentVersion: 1,
      message: 'the current version is 1',
    });
  });

  it('returns the original outcome for a reused change id', async () => {
    await repository.apply(makeChange('a', 0));
    await repository.apply(makeChange('b', 1));
    const retried = await repository.apply(makeChange('a', 0));
    expect(retried.unwrap().version).toEqual(1);
    const reused = await repository.apply(makeChange('c', 2, 'a'));
    expect(reused.err && reused.val.kind).toEqual('invalid');
  });

  it('resolves a lost response by reading the change row', async () => {
    table.lostAnswers = 1;
    const applied = await repository.apply(makeChange('a', 0));
    expect(applied.unwrap().version).toEqual(1);
    const history = await repository.readHistory(5);
    expect(history.unwrap().map(head => head.changeId)).toEqual(['a']);
  });

  it('changes nothing while the store is unavailable', async () => {
    table.unavailable = true;
    const applied = await repository.apply(makeChange('a', 0));
    expect(applied.err && applied.val.kind).toEqual('store-unavailable');
    table.unavailable = false;
    expect((await repository.readHead()).unwrap()).toEqual(undefined);
  });
});

describe('KeyRepository', () => {
  it('keeps both of two concurrent changes', async () => {
    await Promise.all([keys.issue('a', 'one'), keys.issue('b', 'two')]);
    const stored = (await keys.read()).unwrap();
    expect(stored.keys.map(key => key.teamName).sort()).toEqual(['a', 'b']);
    expect(stored.version).toEqual(2);
  });

  it('issues only one key when a response is lost', async () => {
    table.lostAnswers = 1;
    const issued = (await keys.issue('a', 'one')).unwrap();
    const stored = (await keys.read()).unwrap();
    expect(stored.keys.map(key => key.keyId)).toEqual([issued.keyId]);
  });

  it('does not issue a second key for a reused change id', async () => {
    await keys.issue('a', 'one');
    const retried = await keys.issue('a', 'one');
    expect(retried.err && retried.val.kind).toEqual('invalid');
    expect((await keys.read()).unwrap().keys.length).toEqual(1);
  });

  it('withdraws a key once despite retries', async () => {
    const {keyId} = (await keys.issue('a', 'one')).unwrap();
    table.lostAnswers = 1;
    await keys.withdraw([keyId]);
    const retried = (await keys.withdraw([keyId])).unwrap();
    expect(retried.withdrawn).toEqual([keyId]);
    expect(retried.version).toEqual(2);
  });
});
