/**
 * Guards against leader rows that are taken from another leader although they are
 * older than what is known, and against a secret that leaves the table.
 */
import type {TableRow} from '@fireflytrack/platform';
import {MemoryNetwork} from '@fireflytrack/wire';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {LeaderRowRelay} from '../lib/leader-row-relay.js';

const MAX_AGE_MS = 1000;
const ERA = 3;

function rowsAt(version: number): TableRow[] {
  return [
    {key: 'leader/nord-a', version, value: {instanceId: `n${version}`}},
    {key: 'secret', version: 99, value: 'hidden'},
  ];
}

describe('relay of leader rows', () => {
  let clock: Clock;
  let reader: LeaderRowRelay;
  let other: LeaderRowRelay;

  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    const network = MemoryNetwork.create({delayMs: () => 5});
    const join = (instanceId: string) =>
      LeaderRowRelay.create({
        network: network.join({
          instanceId,
          availabilityZone: instanceId,
          region: 'r',
        }),
        maxAgeMs: MAX_AGE_MS,
      });
    [reader, other] = [join('reader'), join('other')];
  });
  afterEach(() => clock.uninstall());

  async function fetch(era = ERA): Promise<readonly TableRow[] | undefined> {
    const fetching = other.fetch('reader', era);
    await clock.tickAsync(500);
    return fetching;
  }

  it('passes on leaders, without the secret', async () => {
    reader.store(rowsAt(5), ERA, performance.now());
    const rows = await fetch();
    expect(rows!.map(({key}) => key)).toEqual(['leader/nord-a']);
    expect(rows![0]!.value).toEqual({instanceId: 'n5'});
  });

  // Otherwise an instance that has just become leader would take itself for
  // replaced.
  it('gives no rows that are older than the known ones', async () => {
    reader.store(rowsAt(5), ERA, performance.now());
    other.store(rowsAt(6), ERA, performance.now());
    expect(await fetch()).toEqual(undefined);
    reader.store(rowsAt(7), ERA, performance.now());
    expect((await fetch())![0]!.version).toEqual(7);
    reader.store(rowsAt(6), ERA, performance.now());
    expect(await fetch()).toEqual(undefined);
  });

  // Guards against the same rows in each answer, which may leave the region.
  it('gives the known rows again if nothing is newer', async () => {
    reader.store(rowsAt(5), ERA, performance.now());
    const first = await fetch();
    reader.store(rowsAt(5), ERA, performance.now());
    const second = await fetch();
    expect(second).toEqual(first!);
    reader.store(rowsAt(8), ERA, performance.now());
    expect((await fetch())![0]!.version).toEqual(8);
  });

  it('gives no rows of another era or above the age', async () => {
    reader.store(rowsAt(5), ERA, performance.now());
    expect(await fetch(ERA + 1)).toEqual(undefined);
    await clock.tickAsync(MAX_AGE_MS);
    expect(await fetch()).toEqual(undefined);
  });

  it('gives nothing before the first read', async () => {
    expect(await fetch()).toEqual(undefined);
  });
});
