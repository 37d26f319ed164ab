/**
 * Guards against zones without a leader, and against links between zones that
 * stay open although nobody uses them.
 */
import {MemoryTable} from '@fireflytrack/platform';
import {createLogger} from '@fireflytrack/telemetry';
import {MemoryNetwork} from '@fireflytrack/wire';
import type {PeerDialer, PeerNetwork} from '@fireflytrack/wire';
import {expect} from 'earl';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {ZoneElection} from '../lib/zone-election.js';
import type {Leader} from '../lib/leader-row.js';

interface Member {
  election: ZoneElection;
  disconnected: string[];
}

describe('zone election', () => {
  let clock: Clock;
  let network: MemoryNetwork;
  let table: MemoryTable;
  const members: Member[] = [];

  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    network = MemoryNetwork.create({delayMs: () => 1});
    table = MemoryTable.create();
  });
  afterEach(() => {
    for (const {election} of members.splice(0)) election.stop();
    clock.uninstall();
  });

  function join(instanceId: string, zone: string): Member {
    const self: Leader = {
      instanceId,
      lifeId: `${instanceId}-life`,
      availabilityZone: zone,
      region: 'nord',
      host: '10.0.0.1',
      port: 7100,
      instances: 1,
    };
    const peers = network.join({
      instanceId,
      availabilityZone: zone,
      region: 'nord',
    });
    const disconnected: string[] = [];
    const dialing: PeerNetwork & PeerDialer = {
      self: peers.self,
      peers: () => peers.peers(),
      send: (id, kind, payload) => peers.send(id, kind, payload),
      broadcast: (kind, payload) => peers.broadcast(kind, payload),
      request: (id, kind, payload, timeoutMs) =>
        peers.request(id, kind, payload, timeoutMs),
      onMessage: (kind, handler) => peers.onMessage(kind, handler),
      onRequest: (kind, handler) => peers.onRequest(kind, handler),
      connectTo: () => {},
      disconnect: id => disconnected.push(id),
    };
    const logger = createLogger({level: 'error', silent: true});
    const election = ZoneElection.create({
      self,
      table,
      network: dialing,
      logger,
      onLead: () => {},
    });
    election.start([]);
    const member = {election, disconnected};
    members.push(member);
    return member;
  }

  const leaders = (of: Member[]) =>
    of.filter(({election}) => election.isLeader).length;

  it('gives each zone one leader that the others reach', async () => {
    const north = ['n1', 'n2', 'n3'].map(id => join(id, 'nord-a'));
    const south = ['s1', 's2'].map(id => join(id, 'sud-a'));
    await clock.tickAsync(5000);
    expect(leaders(north)).toEqual(1);
    expect(leaders(south)).toEqual(1);
    const followers = north.filter(({election}) => !election.isLeader);
    for (const {election} of followers) {
      expect(election.reachableLeader === undefined).toEqual(false);
    }
    // Leaders divide the rates among the zones, so that they must know them.
    const leading = north.find(({election}) => election.isLeader);
    expect(leading!.election.zoneCount).toEqual(2);
  });

  it('tells every instance how many there are in all zones', async () => {
    const north = ['n1', 'n2', 'n3'].map(id => join(id, 'nord-a'));
    const south = ['s1', 's2'].map(id => join(id, 'sud-a'));
    await clock.tickAsync(10_000);
    // The memory network connects all instances, as leaders and members are.
    for (const {election} of [...north, ...south]) {
      expect(election.instances).toEqual(5);
    }
    join('s3', 'sud-a');
    await clock.tickAsync(10_000);
    for (const {election} of [...north, ...south]) {
      expect(election.instances).toEqual(6);
    }
  });

  it('replaces a leader that is gone', async () => {
    const all = ['n1', 'n2', 'n3'].map(id => join(id, 'nord-a'));
    await clock.tickAsync(5000);
    const gone = all.findIndex(({election}) => election.isLeader);
    all[gone]!.election.stop();
    network.leave(['n1', 'n2', 'n3'][gone]!);
    await clock.tickAsync(5000);
    const rest = all.filter((_member, index) => index !== gone);
    expect(leaders(rest)).toEqual(1);
  });

  it('goes on while the table is away, and finds a leader after it', async () => {
    const all = ['n1', 'n2'].map(id => join(id, 'nord-a'));
    await clock.tickAsync(5000);
    table.unavailable = true;
    await clock.tickAsync(10_000);
    expect(leaders(all)).toEqual(1);
    table.unavailable = false;
    const late = join('n3', 'nord-a');
    await clock.tickAsync(5000);
    expect(late.election.reachableLeader === undefined).toEqual(false);
  });

  it('closes a connection to another zone that is not used', async () => {
    const north = join('n1', 'nord-a');
    join('s1', 'sud-a');
    await clock.tickAsync(5000);
    const [other] = north.election.otherLeaders;
    const connecting = north.election.connect(other!, 100);
    await clock.tickAsync(200);
    expect(await connecting).toEqual(true);
    expect(north.disconnected).toEqual([]);
    await clock.tickAsync(10_000);
    expect(north.disconnected).toEqual(['s1']);
  });
});
