/** Tests the rules of claims, retries, stored outcomes and housekeeping. */
import {FixedMembership} from '@fireflytrack/membership';
import {MemoryTable} from '@fireflytrack/platform';
import {createLogger} from '@fireflytrack/telemetry';
import {MemoryNetwork} from '@fireflytrack/wire';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {sleep} from '@fireflytrack/time';
import type {DispatchOutcome} from '../lib/once-registry.js';
import {TableOnceRegistry} from '../lib/table-once-registry.js';

/** Faking setImmediate or nextTick would stop the test runner itself. */
const FAKED = [
  'setTimeout',
  'clearTimeout',
  'setInterval',
  'clearInterval',
  'Date',
  'performance',
] as const;
const logger = createLogger({level: 'error', silent: true});
const HOUR_MS = 3_600_000;

/** A table whose next responses are delayed although the writes took effect. */
class SlowTable extends MemoryTable {
  responseDelaysMs: number[] = [];

  override batch: MemoryTable['batch'] = async (...call) => {
    const results = await super.batch(...call);
    const delayMs = this.responseDelaysMs.shift() ?? 0;
    if (delayMs > 0) await sleep(delayMs);
    return results;
  };
}

function createOutcome(text: string, status = 200): DispatchOutcome {
  const response = {status, headers: {}, body: Buffer.from(text)};
  return {kind: 'answered', answer: response};
}

describe('TableOnceRegistry', () => {
  let clock: FakeTimers.Clock;
  let table: SlowTable;
  let network: MemoryNetwork;
  let a: TableOnceRegistry;
  let b: TableOnceRegistry;
  let dispatched: string[];

  function create(instanceId: string): TableOnceRegistry {
    const self = {instanceId, availabilityZone: 'z', region: 'r'};
    const membership = FixedMembership.create(self, []);
    const options = {table, network: network.join(self), membership, logger};
    return TableOnceRegistry.create(options);
  }

  /** Runs a call; returns the text of its response or the kind of its error. */
  async function run(
    registry: TableOnceRegistry,
    idempotencyKey: string,
    outcome: DispatchOutcome = createOutcome(`answer ${idempotencyKey}`),
    {runMs = 0, deadlineMs = 5000, requestDigest = 'd'} = {},
  ): Promise<string> {
    const request = {teamName: 't', idempotencyKey, requestDigest, deadlineMs};
    const result = await registry.run(request, async () => {
      dispatched.push(idempotencyKey);
      if (runMs > 0) await sleep(runMs);
      return outcome;
    });
    if (result.err) return result.val.kind;
    return Buffer.from(result.val.body).toString();
  }

  async function finish<T>(work: Promise<T>, durationMs = 5000): Promise<T> {
    await clock.tickAsync(durationMs);
    return work;
  }

  async function readRowState(key: string): Promise<unknown> {
    const row = (await table.get(`once/t/${key}`)).unwrap();
    return (row?.value as {state: string} | undefined)?.state;
  }

  beforeEach(() => {
    clock = FakeTimers.install({
      now: Date.UTC(2026, 11, 4),
      toFake: [...FAKED],
    });
    table = new SlowTable();
    network = MemoryNetwork.create({delayMs: () => 5});
    a = create('a');
    b = create('b');
    dispatched = [];
  });

  afterEach(async () => {
    const stops = [a.stop(), b.stop()];
    await clock.tickAsync(5000);
    await Promise.all(stops);
    clock.uninstall();
  });

  it('writes the claims made within 5 ms in one batch', async () => {
    const keys = ['1', '2', '3', 'a/b%', '5'];
    const calls = Promise.all(
      keys.map(key => run(a, key, undefined, {runMs: 100})),
    );
    await clock.tickAsync(6);
    expect(table.calls.batch).toEqual(1);
    expect(dispatched).toEqual(keys);
    expect(await finish(calls)).toEqual(keys.map(key => `answer ${key}`));
    expect(await readRowState('a%2Fb%25')).toEqual('done');
  });

  it('returns the response of the running call to retries', async () => {
    const first = run(a, 'k', undefined, {runMs: 2000});
    await clock.tickAsync(10);
    const retries = [run(a, 'k'), run(b, 'k')];
    await clock.tickAsync(5000);
    expect(await first).toEqual('answer k');
    expect(await Promise.all(retries)).toEqual(['answer k', 'answer k']);
    expect(dispatched).toEqual(['k']);
  });

  it('returns in-progress when the retry reaches its deadline first', async () => {
    const first = run(a, 'k', undefined, {runMs: 4000});
    await clock.tickAsync(10);
    const retry = run(b, 'k', undefined, {deadlineMs: 1000});
    expect(await finish(retry, 1100)).toEqual('in-progress');
    expect(await finish(first)).toEqual('answer k');
  });

  it('stores complete responses of up to 64 KiB for retries', async () => {
    const largest = 'x'.repeat(65_536);
    expect(await finish(run(a, 'k', createOutcome(largest)))).toEqual(largest);
    expect(await finish(run(a, 'l', createOutcome(`${largest}y`)))).toEqual(
      `${largest}y`,
    );
    network.leave('a');
    expect(await finish(run(b, 'k'))).toEqual(largest);
    expect(await finish(run(b, 'l'))).toEqual('answer-gone');
  });

  it('refuses a reused key and an expired UUIDv7', async () => {
    await finish(run(a, 'k'));
    const reused = run(b, 'k', undefined, {requestDigest: 'other'});
    expect(await finish(reused)).toEqual('key-reused');
    const hex = (Date.now() - 24 * HOUR_MS - 1).toString(16).padStart(12, '0');
    const v7 = `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-000000000000`;
    expect(await finish(run(a, v7))).toEqual('key-expired');
    expect(dispatched).toEqual(['k']);
  });

  it('dispatches when the response to the claim write is lost', async () => {
    table.lostAnswers = 1;
    expect(await finish(run(a, 'k'))).toEqual('answer k');
    expect(dispatched).toEqual(['k']);
  });

  it('abandons a claim without a table response', async () => {
    a.start();
    await clock.tickAsync(1);
    table.lostAnswers = 3;
    const refused = run(a, 'k');
    // All attempts of the claim write lose their response before the outage.
    await clock.tickAsync(150);
    table.unavailable = true;
    expect(await finish(refused)).toEqual('store-unavailable');
    expect(await finish(run(b, 'k'))).toEqual('store-unavailable');
    table.unavailable = false;
    await clock.tickAsync(1000);
    expect(await readRowState('k')).toEqual('abandoned');
    network.leave('a');
    expect(await finish(run(b, 'k'))).toEqual('answer k');
    expect(dispatched).toEqual(['k']);
  });

  it('lets a retry wait while the claim write is pending', async () => {
    // "Not run" would be wrong here: the claimer dispatches when the table
    // responds after 1.5 s.
    table.responseDelaysMs = [1500];
    const first = run(a, 'k');
    await clock.tickAsync(10);
    const retry = run(b, 'k');
    expect(await finish(retry)).toEqual('answer k');
    expect(await first).toEqual('answer k');
    expect(dispatched).toEqual(['k']);
  });

  it('dispatches nothing when the claim write takes over 10 s', async () => {
    table.responseDelaysMs = [12_000];
    const call = run(a, 'k', undefined, {deadlineMs: 60_000});
    expect(await finish(call, 20_000)).toEqual('store-unavailable');
    expect(dispatched).toEqual([]);
    expect(await finish(run(b, 'k'))).toEqual('answer k');
  });

  it('allows a retry to run after the backend server declined', async () => {
    const declined = {kind: 'not-run' as const, reason: 'shed'};
    expect(await finish(run(a, 'k', declined))).toEqual('not-run');
    expect(await finish(run(b, 'k'))).toEqual('answer k');
    expect(dispatched).toEqual(['k', 'k']);
  });

  it('does not dispatch again when the claimer is unreachable', async () => {
    void run(a, 'k', undefined, {runMs: 10_000});
    await clock.tickAsync(10);
    network.leave('a');
    expect(await finish(run(b, 'k'))).toEqual('unknown');
    expect(dispatched).toEqual(['k']);
  });

  it('retries the write of an outcome until it is stored', async () => {
    a.start();
    const call = run(a, 'k', undefined, {runMs: 500});
    await clock.tickAsync(100);
    table.unavailable = true;
    expect(await finish(call)).toEqual('answer k');
    table.unavailable = false;
    // The claimer replies before the row holds the outcome.
    expect(await readRowState('k')).toEqual('claimed');
    expect(await finish(run(b, 'k'))).toEqual('answer k');
    expect(await readRowState('k')).toEqual('done');
  });

  it('dispatches nothing for a key whose row it cannot read', async () => {
    const put = {kind: 'put' as const, key: 'once/t/k', ifVersion: 0};
    await table.batch([{...put, value: 'no claim'}], {atomic: false});
    expect(await finish(run(a, 'k'))).toEqual('store-unavailable');
    expect(dispatched).toEqual([]);
  });

  it('refuses new calls while stopping', async () => {
    await finish(a.stop());
    expect(await finish(run(a, 'k'))).toEqual('not-run');
  });

  it('removes rows one hour after the retry window, not earlier', async () => {
    for (let key = 0; key < 250; key += 1) void run(a, `old-${key}`);
    await clock.tickAsync(1000);
    clock.setSystemTime(Date.now() + 24.5 * HOUR_MS);
    void run(a, 'new');
    await clock.tickAsync(1000);
    b.start();
    await clock.tickAsync(700_000);
    expect((await table.scan('once/', 999)).unwrap().length).toEqual(251);
    clock.setSystemTime(Date.now() + 0.6 * HOUR_MS);
    await clock.tickAsync(700_000);
    const rows = (await table.scan('once/', 999)).unwrap();
    expect(rows.map(row => row.key)).toEqual(['once/t/new']);
  });
});
