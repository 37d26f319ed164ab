/** Guards against requests that reach the wrong service or team. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {digestKey} from '../lib/key-digest.js';
import {PolicyTable} from '../lib/policy-table.js';
import {SplitChooser} from '../lib/split-chooser.js';
import {
  completePolicySchema,
  trafficPolicySchema,
} from '../lib/traffic-policy.js';
import type {TrafficPolicy} from '../lib/traffic-policy.js';

function policyWith(change: Partial<TrafficPolicy> = {}): TrafficPolicy {
  return {
    version: 1,
    routes: [routeTo('/', 'root'), routeTo('/a/', 'a'), routeTo('/a/b/', 'b')],
    services: ['root', 'a', 'b'].map(name => ({
      name,
      healthPath: '/health',
      maxConnectionsPerServer: 10,
    })),
    teams: [
      {
        name: 'north',
        keyDigests: [digestKey('key-north')],
        ratePerSecond: 5,
        burstTokens: 5,
      },
    ],
    callerLimits: {
      maxHeaderBytes: 1000,
      maxBodyBytes: 1000,
      headerTimeoutMs: 1000,
      idleTimeoutMs: 1000,
    },
    ...change,
  };
}

function routeTo(prefix: string, service: string): TrafficPolicy['routes'][0] {
  return {
    name: service,
    host: 'shop.example',
    prefix,
    execution: 'idempotent',
    parts: [{service, weight: 1}],
    timeoutMs: 1000,
    targetLatencyMs: 500,
    maxAttempts: 2,
    rank: 0,
    open: false,
  };
}

describe('policy table', () => {
  const table = PolicyTable.create(policyWith());

  it('matches the longest prefix of the path', () => {
    const match = (path: string) =>
      table.matchRoute('shop.example', path)?.route.name;
    expect(match('/x')).toEqual('root');
    expect(match('/a/x')).toEqual('a');
    expect(match('/a/b/x')).toEqual('b');
    expect(match('/a/b')).toEqual('a');
    expect(match('/ab/x')).toEqual('root');
  });

  it('matches only routes of the same host', () => {
    expect(table.matchRoute('other.example', '/a/x')).toEqual(undefined);
  });

  it('finds the team of a key by the digest of the key only', () => {
    expect(table.findTeamByKey('key-north')?.name).toEqual('north');
    expect(table.findTeamByKey('key-south')).toEqual(undefined);
    expect(JSON.stringify(table.policy).includes('key-north')).toEqual(false);
  });

  it('rejects routes to unknown services and keys shared by two teams', () => {
    const unknown = policyWith({routes: [routeTo('/', 'missing')]});
    expect(completePolicySchema.safeParse(unknown).success).toEqual(false);
    const team = policyWith().teams![0]!;
    const shared = policyWith({teams: [team, {...team, name: 'south'}]});
    expect(trafficPolicySchema.safeParse(shared).success).toEqual(false);
    expect(completePolicySchema.safeParse(shared).success).toEqual(false);
    expect(trafficPolicySchema.safeParse(policyWith()).success).toEqual(true);
  });

  it('rejects prefixes that do not begin and end with a slash', () => {
    for (const prefix of ['a/', '/a', '']) {
      const policy = policyWith({routes: [routeTo(prefix, 'a')]});
      expect(trafficPolicySchema.safeParse(policy).success).toEqual(false);
    }
  });
});

describe('split chooser', () => {
  it('meets the weights over few requests', () => {
    const chooser = SplitChooser.create([
      {service: 'stable', weight: 90},
      {service: 'canary', weight: 10},
    ]);
    let canary = 0;
    for (let index = 0; index < 100; index += 1) {
      if (chooser.next() === 'canary') canary += 1;
    }
    expect(canary >= 9 && canary <= 11).toEqual(true);
  });

  it('never chooses a part whose weight is 0', () => {
    const chooser = SplitChooser.create([
      {service: 'off', weight: 0},
      {service: 'on', weight: 3},
    ]);
    for (let index = 0; index < 20; index += 1) {
      expect(chooser.next()).toEqual('on');
    }
  });

  it('meets the shares in a fleet whose processes handle two requests each', () => {
    let canary = 0;
    for (let process = 0; process < 400; process += 1) {
      const chooser = SplitChooser.create([
        {service: 'stable', weight: 70},
        {service: 'canary', weight: 30},
      ]);
      for (let index = 0; index < 2; index += 1) {
        if (chooser.next() === 'canary') canary += 1;
      }
    }
    const share = canary / 800;
    // Users accept a deviation of 0.1 from a split.
    expect(Math.abs(share - 0.3) < 0.1).toEqual(true);
  });
});
