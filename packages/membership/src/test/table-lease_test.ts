/** Guards the lease against paused holders, lost responses and late writes. */
import {MemoryTable} from '@fireflytrack/platform';
import type {TableService} from '@fireflytrack/platform';
import {createLogger} from '@fireflytrack/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {TableLease} from '../lib/table-lease.js';

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
const TTL_MS = 9000;

/** Delays calls, as if the calling process were paused or disconnected. */
class PausableTable implements TableService {
  private gate: Promise<void> = Promise.resolve();
  private open = () => {};

  constructor(private readonly table: MemoryTable) {}

  pause(): void {
    this.gate = new Promise(resolve => (this.open = resolve));
  }

  resume(): void {
    this.open();
  }

  get = async (key: string) => this.afterResume(() => this.table.get(key));
  scan = async (prefix: string, limit: number) =>
    this.afterResume(() => this.table.scan(prefix, limit));
  batch: TableService['batch'] = async (operations, options) =>
    this.afterResume(() => this.table.batch(operations, options));

  private async afterResume<T>(call: () => Promise<T>): Promise<T> {
    await this.gate;
    return call();
  }
}

describe('TableLease', () => {
  let clock: FakeTimers.Clock;
  let table: MemoryTable;
  let leases: TableLease[];

  function start(
    holderId: string,
    leaseTable: TableService = table,
  ): TableLease {
    const options = {name: 'n', holderId, ttlMs: TTL_MS, logger};
    const lease = TableLease.create({...options, table: leaseTable});
    leases.push(lease);
    lease.start();
    return lease;
  }

  /** Advances time in small steps and checks that at most one lease is held. */
  async function advance(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
      await clock.tickAsync(100);
      const holders = leases.filter(lease => lease.isHeld()).length;
      expect(holders <= 1).toEqual(true);
    }
  }

  const createPutPlan = (key: string) => async () => {
    const row = await table.get(key);
    const ifVersion = row.unwrap()?.version ?? 0;
    const operation = {kind: 'put' as const, key, ifVersion, value: 1};
    return row.map(() => [operation]);
  };

  beforeEach(() => {
    clock = FakeTimers.install({toFake: [...FAKED]});
    table = MemoryTable.create();
    leases = [];
  });

  afterEach(() => clock.uninstall());

  it('passes on with a new epoch after the ttl of a paused holder', async () => {
    const pausable = new PausableTable(table);
    const a = start('a', pausable);
    await advance(100);
    const b = start('b');
    await advance(30_000);
    expect([a.isHeld(), a.epoch(), b.isHeld()]).toEqual([true, 1, false]);
    pausable.pause();
    await advance(2 * TTL_MS + 4000);
    expect([a.isHeld(), b.isHeld(), b.epoch()]).toEqual([false, true, 2]);
    pausable.resume();
    await advance(30_000);
    expect([a.isHeld(), b.isHeld()]).toEqual([false, true]);
  });

  it('rejects late writes of a paused holder', async () => {
    const pausable = new PausableTable(table);
    const a = start('a', pausable);
    await advance(100);
    const b = start('b');
    const fresh = await a.runFenced(createPutPlan('fresh'));
    expect(fresh.unwrap()).toEqual(true);
    // The write is sent while a holds the lease and arrives after its ttl.
    const late = a.runFenced(async () => {
      const plan = await createPutPlan('late')();
      pausable.pause();
      return plan;
    });
    await advance(3 * TTL_MS);
    expect(b.isHeld()).toEqual(true);
    pausable.resume();
    await advance(100);
    expect((await late).unwrap()).toEqual(false);
    expect((await table.get('late')).unwrap()).toEqual(undefined);
  });

  it('resolves lost responses by the writer id', async () => {
    table.lostAnswers = 1;
    const a = start('a');
    await advance(100);
    expect(a.isHeld()).toEqual(true);
    table.lostAnswers = 1;
    const written = await a.runFenced(createPutPlan('row'));
    expect(written.unwrap()).toEqual(true);
    table.lostAnswers = 2;
    await advance(2 * TTL_MS);
    expect([a.isHeld(), a.epoch()]).toEqual([true, 1]);
  });

  it('lapses in a table outage and is reacquired after it', async () => {
    const a = start('a');
    await advance(100);
    table.unavailable = true;
    await advance(TTL_MS);
    expect(a.isHeld()).toEqual(false);
    table.unavailable = false;
    await advance(TTL_MS);
    expect([a.isHeld(), a.epoch()]).toEqual([true, 2]);
  });

  it('can be acquired without a wait after a release', async () => {
    const a = start('a');
    const b = start('b');
    await advance(100);
    expect(a.isHeld()).toEqual(true);
    await a.stop();
    await advance(TTL_MS / 2);
    expect([a.isHeld(), b.isHeld(), b.epoch()]).toEqual([false, true, 2]);
  });
});
