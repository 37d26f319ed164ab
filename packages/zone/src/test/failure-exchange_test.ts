/**
 * Guards against gray servers that every zone of a region has to detect by
 * itself, at the cost of one request each, and against duplicate notifications.
 */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {MemoryNetwork} from '@fireflytrack/wire';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {FailureExchange} from '../lib/failure-exchange.js';
import type {Leader} from '../lib/leader-row.js';

const FAILURE = {serverId: 's1', service: 'counting', failedTrial: false};
const REGIONS: Record<string, string> = {
  a: 'nord',
  b: 'nord',
  c: 'sud',
  d: 'sud',
};

describe('failure exchange', () => {
  let clock: Clock;
  let network: MemoryNetwork;
  let received: string[];
  let connected: string[];
  let exchanges: Map<string, FailureExchange>;

  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    network = MemoryNetwork.create({delayMs: () => 1});
    received = [];
    connected = [];
    exchanges = new Map();
    for (const zone of Object.keys(REGIONS)) {
      join(`${zone}1`, zone);
      join(`${zone}2`, zone);
    }
  });
  afterEach(() => clock.uninstall());

  function leaderOf(zone: string): Leader {
    return {
      instanceId: `${zone}1`,
      lifeId: zone,
      availabilityZone: zone,
      region: REGIONS[zone]!,
      host: '10.0.0.1',
      port: 7100,
      instances: 2,
    };
  }

  /** The first instance of each zone is its leader. */
  function join(instanceId: string, zone: string): void {
    const region = REGIONS[zone]!;
    const isLeader = instanceId.endsWith('1');
    const others = Object.keys(REGIONS).filter(other => other !== zone);
    const exchange = FailureExchange.create({
      network: network.join({instanceId, availabilityZone: zone, region}),
      election: {
        isLeader,
        reachableLeader: isLeader ? undefined : leaderOf(zone),
        otherLeaders: others.map(leaderOf),
        connect: async leader => {
          connected.push(`${instanceId}-${leader.instanceId}`);
          return true;
        },
      },
      onFailure: ({serverId}) => received.push(`${instanceId} ${serverId}`),
    });
    exchanges.set(instanceId, exchange);
  }

  it('notifies every instance of the region once', async () => {
    exchanges.get('a2')!.report(FAILURE);
    await clock.tickAsync(20);
    expect(received.sort()).toEqual(['a1 s1', 'b1 s1', 'b2 s1']);
    expect(connected).toEqual(['a1-b1']);
  });

  it('notifies other regions of a failed trial', async () => {
    exchanges.get('a2')!.report({...FAILURE, failedTrial: true});
    await clock.tickAsync(20);
    const everyone = ['a1', 'b1', 'b2', 'c1', 'c2', 'd1', 'd2'];
    expect(received.sort()).toEqual(everyone.map(name => `${name} s1`));
    expect(connected.sort()).toEqual(['a1-b1', 'a1-c1', 'c1-d1']);
  });

  it('forwards one of several failures of a server within a short time', async () => {
    exchanges.get('a2')!.report(FAILURE);
    await clock.tickAsync(100);
    exchanges.get('a1')!.report(FAILURE);
    await clock.tickAsync(100);
    expect(received.filter(line => line.startsWith('b')).length).toEqual(2);
    await clock.tickAsync(1000);
    exchanges.get('a1')!.report(FAILURE);
    await clock.tickAsync(100);
    expect(received.filter(line => line.startsWith('b')).length).toEqual(4);
  });
});
