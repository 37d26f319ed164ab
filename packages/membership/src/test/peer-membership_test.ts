/** Guards liveness and freshness against one-way partitions and stale lists. */
import {MemoryInstanceList} from '@fireflytrack/platform';
import {createLogger} from '@fireflytrack/telemetry';
import {MemoryNetwork} from '@fireflytrack/wire';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {PeerMembership} from '../lib/peer-membership.js';

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
const ids = ['a', 'b', 'c'];

function createListedInstance(instanceId: string, region = 'nord') {
  const ports = {entryPort: 1, peerPort: 2, adminPort: 3};
  const location = {availabilityZone: 'z1', region, state: 'live' as const};
  return {instanceId, host: '127.0.0.1', ...ports, ...location};
}

describe('PeerMembership', () => {
  let clock: FakeTimers.Clock;
  let network: MemoryNetwork;
  let list: MemoryInstanceList;
  let members: Record<string, PeerMembership>;

  async function start(regionOf: (id: string) => string = () => 'nord') {
    for (const id of ids) list.set(createListedInstance(id, regionOf(id)));
    for (const id of ids) {
      const identity = createListedInstance(id, regionOf(id));
      const peerNetwork = network.join(identity);
      const options = {network: peerNetwork, list, storeRegion: 'nord', logger};
      members[id] = PeerMembership.create(options);
      await members[id].start();
    }
    await clock.tickAsync(1000);
  }

  beforeEach(() => {
    clock = FakeTimers.install({toFake: [...FAKED]});
    network = MemoryNetwork.create({delayMs: () => 5});
    list = MemoryInstanceList.create();
    members = {};
  });

  afterEach(async () => {
    for (const member of Object.values(members)) await member.stop();
    clock.uninstall();
  });

  it('treats a one-way partition as unreachable on both sides', async () => {
    await start();
    expect([...members['a']!.liveIds()].sort()).toEqual(ids);
    network.cut('a', 'b');
    await clock.tickAsync(2500);
    expect(members['a']!.liveIds()).toEqual(['a', 'c']);
    expect(members['b']!.liveIds()).toEqual(['b', 'c']);
    expect([...members['c']!.liveIds()].sort()).toEqual(ids);
    network.heal('a', 'b');
    await clock.tickAsync(1000);
    expect([...members['a']!.liveIds()].sort()).toEqual(ids);
  });

  it('notifies peers immediately that an instance is leaving', async () => {
    await start();
    members['a']!.announceLeaving();
    await clock.tickAsync(10);
    const member = members['b']!.others().find(
      candidate => candidate.identity.instanceId === 'a',
    );
    expect([member?.leaving, member?.reachable]).toEqual([true, true]);
    expect(members['b']!.liveIds().includes('a')).toEqual(false);
  });

  it('reports an instance as ended only if unlisted and silent', async () => {
    await start();
    expect(members['a']!.hasEnded('never-listed', 0)).toEqual(false);
    list.remove('c');
    await clock.tickAsync(60_000);
    // The list wrongly lacks an instance that still sends heartbeats.
    expect(members['a']!.hasEnded('c', 30_000)).toEqual(false);
    network.leave('c');
    await clock.tickAsync(29_000);
    expect(members['a']!.hasEnded('c', 30_000)).toEqual(false);
    await clock.tickAsync(5000);
    expect(members['a']!.hasEnded('c', 30_000)).toEqual(true);
    list.set(createListedInstance('c'));
    await clock.tickAsync(2000);
    expect(members['a']!.hasEnded('c', 0)).toEqual(false);
  });

  it('does not count time without list reads as absence', async () => {
    await start();
    network.leave('c');
    list.remove('c');
    await clock.tickAsync(4000);
    list.unavailable = true;
    await clock.tickAsync(60_000);
    expect(members['a']!.hasEnded('c', 30_000)).toEqual(false);
  });

  it('adopts the freshness of a peer, older by the echo delay', async () => {
    await start();
    expect(members['a']!.ageMs()).toEqual(Infinity);
    members['b']!.recordRead(true);
    await clock.tickAsync(1000);
    const ageMs = members['a']!.ageMs();
    expect(ageMs >= 1000 && ageMs <= 1500).toEqual(true);
    // Without echoes of its own heartbeats, a cannot bound the age of reports.
    network.cut('a', 'b');
    network.cut('a', 'c');
    for (let second = 0; second < 5; second += 1) {
      members['b']!.recordRead(true);
      await clock.tickAsync(1000);
    }
    expect(members['a']!.ageMs() >= 5000).toEqual(true);
    expect(members['c']!.ageMs() <= 1500).toEqual(true);
  });

  it('measures the age of a read from when it was sent', async () => {
    await start();
    const startedAtMs = performance.now();
    await clock.tickAsync(3000);
    members['a']!.recordRead(true, startedAtMs);
    expect(members['a']!.ageMs()).toEqual(3000);
  });

  it('requires two instances of the store region to confirm an outage', async () => {
    await start(id => (id === 'c' ? 'sud' : 'nord'));
    for (let second = 0; second < 5; second += 1) {
      members['a']!.recordRead(false);
      members['c']!.recordRead(false);
      await clock.tickAsync(1000);
    }
    expect(members['a']!.ageMs()).toEqual(Infinity);
    members['a']!.recordRead(false);
    members['b']!.recordRead(false);
    await clock.tickAsync(600);
    expect(members['a']!.ageMs() <= 1200).toEqual(true);
    // The instance in the other region adopts their freshness.
    expect(members['c']!.ageMs() <= 1600).toEqual(true);
  });

  it('needs no confirmation without another listed instance', async () => {
    await start(id => (id === 'a' ? 'nord' : 'sud'));
    members['a']!.recordRead(false);
    expect(members['a']!.ageMs()).toEqual(0);
  });
});
