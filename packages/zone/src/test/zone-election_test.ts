/**
 * Guards against zones without a leader or with members that follow a former
 * one, and against connections between zones that stay open while idle.
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
  self: Leader;
  election: ZoneElection;
  /** How long the zone had no leader, each time this member became leader. */
  vacantForMs: number[];
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

  function join(
    instanceId: string,
    zone: string,
    run = 'first-run',
    processorShare?: number,
  ): Member {
    const self: Leader = {
      instanceId,
      lifeId: `${instanceId}-${run}`,
      availabilityZone: zone,
      region: 'nord',
      host: '10.0.0.1',
      port: 7100,
      instances: 1,
      processorShare,
    };
    const peers = network.join({
      instanceId,
      availabilityZone: zone,
      region: 'nord',
    });
    const disconnected: string[] = [];
    const vacantForMs: number[] = [];
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
      wasRefused: () => false,
    };
    const logger = createLogger({level: 'error', silent: true});
    const election = ZoneElection.create({
      self,
      table,
      network: dialing,
      logger,
      onBecomeLeader: (vacantSinceMs = performance.now()) =>
        vacantForMs.push(performance.now() - vacantSinceMs),
    });
    election.start([]);
    const member = {self, election, disconnected, vacantForMs};
    members.push(member);
    return member;
  }

  const countLeaders = (candidates: Member[]) =>
    candidates.filter(({election}) => election.isLeader).length;

  it('elects one leader per zone that the other members reach', async () => {
    const north = ['n1', 'n2', 'n3'].map(id => join(id, 'nord-a'));
    const south = ['s1', 's2'].map(id => join(id, 'sud-a'));
    await clock.tickAsync(5000);
    expect(countLeaders(north)).toEqual(1);
    expect(countLeaders(south)).toEqual(1);
    const followers = north.filter(({election}) => !election.isLeader);
    for (const {election} of followers) {
      expect(election.reachableLeader === undefined).toEqual(false);
    }
    // Leaders divide the rates by the number of zones, so they have to know
    // that number.
    const leader = north.find(({election}) => election.isLeader);
    expect(leader!.election.zoneCount).toEqual(2);
  });

  it('reports the number of instances in all zones to every instance', async () => {
    const north = ['n1', 'n2', 'n3'].map(id => join(id, 'nord-a'));
    const south = ['s1', 's2'].map(id => join(id, 'sud-a'));
    await clock.tickAsync(10_000);
    // The memory network connects all instances with each other.
    for (const {election} of [...north, ...south]) {
      expect(election.instances).toEqual(5);
    }
    join('s3', 'sud-a');
    await clock.tickAsync(10_000);
    for (const {election} of [...north, ...south]) {
      expect(election.instances).toEqual(6);
    }
  });

  it('replaces a leader that has ended', async () => {
    const all = ['n1', 'n2', 'n3'].map(id => join(id, 'nord-a'));
    await clock.tickAsync(5000);
    const formerLeaderIndex = all.findIndex(({election}) => election.isLeader);
    all[formerLeaderIndex]!.election.stop();
    network.leave(['n1', 'n2', 'n3'][formerLeaderIndex]!);
    await clock.tickAsync(5000);
    const remaining = all.filter(
      (_member, index) => index !== formerLeaderIndex,
    );
    expect(countLeaders(remaining)).toEqual(1);
  });

  // Guards against a table that each leader reads, and against leaders that read
  // from each other in a circle.
  it('has one leader read the table for all', async () => {
    const all = ['nord-a', 'nord-b', 'nord-c'].map(zone => join(zone, zone));
    await clock.tickAsync(5000);
    const sources = all.map(({election}) => election.feedSource?.instanceId);
    expect(sources).toEqual([undefined, 'nord-a', 'nord-a']);
    all[0]!.election.stop();
    network.leave('nord-a');
    const successor = join('n2', 'nord-a');
    await clock.tickAsync(5000);
    expect(successor.election.feedSource).toEqual(undefined);
    expect(all[2]!.election.feedSource?.instanceId).toEqual('n2');
  });

  // Guards against reads of the table that grow with the number of zones.
  it('reads the leader rows about once a second for nine zones', async () => {
    let reads = 0;
    const scan = table.scan.bind(table);
    table.scan = (prefix, limit) => {
      reads += 1;
      return scan(prefix, limit);
    };
    const zones = Array.from({length: 9}, (_, index) => `zone-${index}`);
    const all = zones.map(zone => join(zone, zone));
    await clock.tickAsync(10_000);
    reads = 0;
    await clock.tickAsync(20_000);
    // One a second, and one of each leader in 20 s for the secret.
    expect(reads <= 20 / 0.9 + 2 * zones.length).toEqual(true);
    expect(countLeaders(all)).toEqual(9);
    // A former leader still notices its successor in time.
    const successor = {...all[4]!.self, instanceId: 'x', lifeId: 'x'};
    const [row] = (await table.scan('leader/zone-4', 1)).unwrap();
    const {key, version: ifVersion} = row!;
    await table.batch([{kind: 'put', key, ifVersion, value: successor}], {
      atomic: true,
    });
    let waitedMs = 0;
    while (all[4]!.election.isLeader && waitedMs < 5000) {
      await clock.tickAsync(50);
      waitedMs += 50;
    }
    expect(waitedMs <= 2400).toEqual(true);
  });

  // Guards against small machines that lead a zone while larger ones could.
  it('prefers an instance as large as the last leader', async () => {
    for (let round = 0; round < 5; round += 1) {
      const zone = `zone-${round}`;
      const first = join(`first-${round}`, zone, 'run', 0.7);
      await clock.tickAsync(1000);
      const small = ['a', 'b', 'c'].map(id =>
        join(`${id}-${round}`, zone, 'run', 0.3),
      );
      const large = join(`large-${round}`, zone, 'run', 0.7);
      await clock.tickAsync(5000);
      first.election.stop();
      network.leave(`first-${round}`);
      await clock.tickAsync(5000);
      expect(large.election.isLeader).toEqual(true);
      large.election.stop();
      network.leave(`large-${round}`);
      await clock.tickAsync(5000);
      expect(countLeaders(small)).toEqual(1);
    }
  });

  // The zone would be without a leader again a moment later.
  it('does not elect an instance that is about to stop', async () => {
    const all = ['n1', 'n2'].map(id => join(id, 'nord-a'));
    await clock.tickAsync(5000);
    const leader = all.find(({election}) => election.isLeader)!;
    const stopping = all.find(member => member !== leader)!;
    stopping.election.withdrawCandidacy();
    leader.election.stop();
    network.leave(['n1', 'n2'][all.indexOf(leader)]!);
    await clock.tickAsync(5000);
    expect(stopping.election.isLeader).toEqual(false);
    const successor = join('n3', 'nord-a');
    await clock.tickAsync(5000);
    expect(successor.election.isLeader).toEqual(true);
    expect(stopping.election.reachableLeader?.instanceId).toEqual('n3');
  });

  // The remaining members could not be granted retries or tokens.
  it('keeps a leader that is about to stop until it has stopped', async () => {
    const all = ['n1', 'n2'].map(id => join(id, 'nord-a'));
    await clock.tickAsync(5000);
    const leader = all.find(({election}) => election.isLeader)!;
    leader.election.withdrawCandidacy();
    await clock.tickAsync(5000);
    expect(leader.election.isLeader).toEqual(true);
  });

  it('knows how long the zone had no leader after the leader restarted', async () => {
    join('n1', 'nord-a');
    await clock.tickAsync(5000);
    for (const {election} of members.splice(0)) election.stop();
    network.leave('n1');
    await clock.tickAsync(5000);
    // Real monotonic clocks start with the process, so the new run needs a new
    // clock.
    clock.uninstall();
    clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    const uptimeMs = 700;
    await clock.tickAsync(uptimeMs);
    const restarted = join('n1', 'nord-a', 'second-run');
    await clock.tickAsync(5000);
    expect(restarted.vacantForMs.length).toEqual(1);
    expect(restarted.vacantForMs[0]! >= uptimeMs).toEqual(true);
    expect(restarted.vacantForMs[0]! < uptimeMs + 500).toEqual(true);
  });

  it('assumes that an unreachable leader was active until now', async () => {
    const all = ['n1', 'n2'].map(id => join(id, 'nord-a'));
    await clock.tickAsync(5000);
    const formerLeaderIndex = all.findIndex(({election}) => election.isLeader);
    network.leave(['n1', 'n2'][formerLeaderIndex]!);
    await clock.tickAsync(5000);
    const {vacantForMs} = all[1 - formerLeaderIndex]!;
    expect(vacantForMs.length >= 1).toEqual(true);
    expect(Math.max(...vacantForMs)).toEqual(0);
  });

  it('keeps the leader while the table is unavailable, and new members find it afterwards', async () => {
    const all = ['n1', 'n2'].map(id => join(id, 'nord-a'));
    await clock.tickAsync(5000);
    table.unavailable = true;
    await clock.tickAsync(10_000);
    expect(countLeaders(all)).toEqual(1);
    table.unavailable = false;
    const late = join('n3', 'nord-a');
    await clock.tickAsync(5000);
    expect(late.election.reachableLeader === undefined).toEqual(false);
  });

  it('closes an idle connection to another zone', async () => {
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

  const leaderOf = (candidates: Member[]) =>
    candidates.find(({election}) => election.isLeader);

  // Guards against members that go on to send their requests to an instance that
  // leads no longer, because their connection to it stays open.
  it('makes the members follow the successor of a leader that is still there', async () => {
    const all = ['n1', 'n2'].map(id => join(id, 'nord-a'));
    await clock.tickAsync(5000);
    const formerId = `n${all.indexOf(leaderOf(all)!) + 1}`;
    network.cut(formerId, 'n3');
    const successor = join('n3', 'nord-a');
    all.push(successor);
    while (!successor.election.isLeader) await clock.tickAsync(10);
    network.heal(formerId, 'n3');
    await clock.tickAsync(6000);
    expect(countLeaders(all)).toEqual(1);
    expect(successor.election.isLeader).toEqual(true);
    for (const {election} of all.slice(0, 2)) {
      expect(election.reachableLeader?.instanceId).toEqual('n3');
    }
  });

  describe('when the table returned from an older copy', () => {
    it('keeps the leaders whose rows are lost, and writes the rows again', async () => {
      const north = ['n1', 'n2'].map(id => join(id, 'nord-a'));
      const south = ['s1', 's2'].map(id => join(id, 'sud-a'));
      await clock.tickAsync(5000);
      const leaders = [leaderOf(north), leaderOf(south)];
      table.restore([]);
      let fewestZones = Infinity;
      for (let elapsedMs = 0; elapsedMs < 8000; elapsedMs += 50) {
        await clock.tickAsync(50);
        expect([leaderOf(north), leaderOf(south)]).toEqual(leaders);
        for (const member of leaders) {
          const {zoneCount} = member!.election;
          fewestZones = Math.min(fewestZones, zoneCount);
        }
      }
      // Fewer zones would give each of them a larger part of the rates.
      expect(fewestZones).toEqual(2);
      expect(table.copyRows().length).toEqual(2);
    });

    it('keeps the leader if the copy names one from before', async () => {
      const first = join('n1', 'nord-a');
      await clock.tickAsync(3000);
      const copy = table.copyRows();
      first.election.stop();
      network.leave('n1');
      const others = ['n2', 'n3'].map(id => join(id, 'nord-a'));
      await clock.tickAsync(5000);
      const leader = leaderOf(others)!;
      const again = join('n1', 'nord-a', 'second-run');
      await clock.tickAsync(3000);
      table.restore(copy);
      await clock.tickAsync(8000);
      expect(leaderOf([...others, again])).toEqual(leader);
      expect(leader.vacantForMs.length).toEqual(1);
    });

    it('gives way to a leader that another instance became since', async () => {
      const all = ['n1', 'n2'].map(id => join(id, 'nord-a'));
      await clock.tickAsync(5000);
      table.restore([]);
      const other = join('n3', 'nord-a');
      await clock.tickAsync(10_000);
      expect(countLeaders([...all, other])).toEqual(1);
    });
  });
});
