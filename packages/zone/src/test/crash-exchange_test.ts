/**
 * Guards against crashes that only some instances know of, after lost messages
 * and new leaders, and against several trials of one request.
 */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {createLogger} from '@fireflytrack/telemetry';
import {CrashSuspects} from '@fireflytrack/upstream';
import {MemoryNetwork} from '@fireflytrack/wire';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {CrashExchange} from '../lib/crash-exchange.js';
import type {Leader} from '../lib/leader-row.js';

const ZONES = ['a', 'b', 'c'];
const HOLD_MS = 60_000;
const IDENTITY = {
  digest: 'd',
  headDigest: 'h',
  route: 'reads',
  service: 'counting',
};
const runOf = (serverId: string) => ({serverId, startedAtMs: 1});

interface Instance {
  suspects: CrashSuspects;
  exchange: CrashExchange;
  leads: boolean;
}

describe('exchange of requests that may crash servers', () => {
  let clock: Clock;
  let network: MemoryNetwork;
  let instances: Map<string, Instance>;
  /** The leader of each zone. */
  let leaders: Map<string, string>;

  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    clock.tick(1000);
    network = MemoryNetwork.create({delayMs: () => 1});
    instances = new Map();
    leaders = new Map(ZONES.map(zone => [zone, `${zone}1`]));
    for (const zone of ZONES) {
      for (const index of [1, 2, 3]) join(`${zone}${index}`, zone);
    }
  });
  afterEach(() => clock.uninstall());

  function rowOf(zone: string): Leader {
    return {
      instanceId: leaders.get(zone)!,
      lifeId: leaders.get(zone)!,
      availabilityZone: zone,
      region: 'nord',
      host: '10.0.0.1',
      port: 7100,
      instances: 3,
    };
  }

  function join(instanceId: string, zone: string): void {
    const suspects = CrashSuspects.create({
      holdAfter: 3,
      holdMs: HOLD_MS,
      logger: createLogger({level: 'error', silent: true}),
    });
    const exchange = CrashExchange.create(suspects);
    const instance = {suspects, exchange, leads: instanceId.endsWith('1')};
    instances.set(instanceId, instance);
    const region = 'nord';
    exchange.join({
      network: network.join({instanceId, availabilityZone: zone, region}),
      election: {
        get isLeader(): boolean {
          return instance.leads;
        },
        get reachableLeader(): Leader | undefined {
          return instance.leads ? undefined : rowOf(zone);
        },
        get otherLeaders(): Leader[] {
          return ZONES.filter(other => other !== zone).map(rowOf);
        },
        connect: async () => true,
      },
    });
  }

  const crash = (instanceId: string, serverId: string) =>
    instances.get(instanceId)!.suspects.recordCrash(IDENTITY, runOf(serverId));
  const knowing = (crashes: number) =>
    [...instances]
      .filter(([, {suspects}]) => suspects.find('d')?.crashes === crashes)
      .map(([instanceId]) => instanceId);
  const all = () => [...instances.keys()];

  it('adds up what instances of different zones saw', async () => {
    crash('a2', 's1');
    await clock.tickAsync(50);
    // One crash is known to the leaders only.
    expect(knowing(1)).toEqual(['a1', 'a2', 'b1', 'c1']);
    crash('b3', 's2');
    crash('c2', 's3');
    await clock.tickAsync(100);
    expect(knowing(3)).toEqual(all());
  });

  // Guards against a clearance that only the instance with the response knows.
  it('clears the request at all instances', async () => {
    for (const [id, server] of [
      ['a2', 's1'],
      ['b2', 's2'],
      ['c2', 's3'],
    ])
      crash(id!, server!);
    await clock.tickAsync(100);
    instances.get('b3')!.suspects.recordSuccess('d');
    await clock.tickAsync(100);
    expect(all().filter(id => instances.get(id)!.suspects.find('d'))).toEqual(
      [],
    );
  });

  it('repeats what was not acknowledged', async () => {
    for (const other of ['b1', 'c1']) network.cut('a1', other);
    network.cut('a1', 'a3');
    crash('a2', 's1');
    crash('a2', 's2');
    await clock.tickAsync(2000);
    expect(knowing(2)).toEqual(['a1', 'a2']);
    for (const other of ['b1', 'c1', 'a3']) network.heal('a1', other);
    await clock.tickAsync(3000);
    expect(knowing(2)).toEqual(all());
  });

  it('brings a new leader and its zone to the state of the others', async () => {
    network.suspend('b1');
    crash('a2', 's1');
    crash('a2', 's2');
    await clock.tickAsync(100);
    expect(knowing(2).filter(id => id.startsWith('b'))).toEqual([]);
    leaders.set('b', 'b2');
    instances.get('b2')!.leads = true;
    instances.get('b2')!.exchange.becomeLeader();
    instances.get('b3')!.exchange.followLeader(rowOf('b'));
    await clock.tickAsync(100);
    expect(knowing(2)).toEqual(all().filter(id => id !== 'b1'));
  });

  // Guards against a leader that was elected, but is not yet known elsewhere, when
  // a crash is told.
  it('tells leaders that become known later', async () => {
    const known = leaders.get('c')!;
    leaders.set('c', 'c9');
    crash('a2', 's1');
    await clock.tickAsync(1000);
    expect(knowing(1)).toEqual(['a1', 'a2', 'b1']);
    leaders.set('c', known);
    await clock.tickAsync(1000);
    expect(knowing(1)).toEqual(['a1', 'a2', 'b1', 'c1']);
  });

  // Guards against an instance that starts while its leader is silent for a moment
  // and never learns of the crashes.
  it('repeats the exchange with a leader that does not answer', async () => {
    crash('a2', 's1');
    crash('a2', 's2');
    await clock.tickAsync(100);
    network.leave('b2');
    network.suspend('b1');
    join('b2', 'b');
    instances.get('b2')!.exchange.followLeader(rowOf('b'));
    await clock.tickAsync(600);
    // The response to the first request comes too late.
    network.resume('b1');
    await clock.tickAsync(1000);
    expect(knowing(2)).toEqual(all());
  });

  // Guards against a crash that the reporting instance alone remembers.
  it('finds the next leader while its own does not answer', async () => {
    network.suspend('a1');
    crash('a2', 's1');
    crash('a3', 's2');
    await clock.tickAsync(1000);
    leaders.set('a', 'a2');
    instances.get('a2')!.leads = true;
    instances.get('a2')!.exchange.becomeLeader();
    instances.get('a3')!.exchange.followLeader(rowOf('a'));
    await clock.tickAsync(2000);
    expect(knowing(2)).toEqual(all().filter(id => id !== 'a1'));
  });

  it('grants one trial to all instances together', async () => {
    for (const server of ['s1', 's2', 's3']) crash('a2', server);
    await clock.tickAsync(HOLD_MS + 1000);
    const asked = all().map(id =>
      instances.get(id)!.exchange.requestTrial('d'),
    );
    await clock.tickAsync(1000);
    const granted = (await Promise.all(asked)).filter(Boolean);
    expect(granted.length).toEqual(1);
    await clock.tickAsync(HOLD_MS);
    const again = all().map(id =>
      instances.get(id)!.exchange.requestTrial('d'),
    );
    await clock.tickAsync(1000);
    expect((await Promise.all(again)).filter(Boolean)).toEqual([]);
  });

  it('sends nothing while no server crashes', async () => {
    await clock.tickAsync(60_000);
    expect([...network.deliveredByKind.values()]).toEqual([]);
  });
});
