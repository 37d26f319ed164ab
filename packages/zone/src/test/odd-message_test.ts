/** Guards against odd numbers in messages about limits, rates and retries. */
import {MemoryNetwork} from '@fireflytrack/wire';
import type {PeerNetwork} from '@fireflytrack/wire';
import {expect} from 'earl';
import {beforeEach, describe, it} from 'node:test';
import {
  limitSchema,
  takeRequestSchema,
  takeResponseSchema,
} from '../lib/limit-messages.js';
import {ZoneRateLimiter} from '../lib/zone-rate-limiter.js';
import {ZoneRetries} from '../lib/zone-retries.js';
import type {ZoneElection} from '../lib/zone-election.js';

const LIMIT = {
  serverId: 's1',
  service: 'counting',
  startedAtMs: 1,
  requestsPerSecond: 5,
};
const WAIT_MS = 5000;
const ODD_NUMBERS = [NaN, Infinity, -Infinity, 1e308, -1e308, -1];

describe('message about a limit', () => {
  // Guards against grants without bounds, and limits that no server names.
  for (const number of [...ODD_NUMBERS, 0, 5e-324]) {
    it(`is not taken with ${number} requests a second`, () => {
      const limit = {...LIMIT, requestsPerSecond: number};
      expect(limitSchema.safeParse(limit).success).toEqual(false);
    });
  }

  // Guards against runs, ranks and waits that nothing compares with.
  for (const number of ODD_NUMBERS) {
    it(`is not taken with ${number} as its time or rank`, () => {
      const limit = {...LIMIT, startedAtMs: number};
      expect(limitSchema.safeParse(limit).success).toEqual(false);
      const request = {
        service: 'counting',
        rank: number,
        candidates: [LIMIT],
        isOnlyChoice: true,
        forwarded: false,
      };
      expect(takeRequestSchema.safeParse(request).success).toEqual(false);
      const wait = {kind: 'at-limit', retryAfterMs: number};
      expect(takeResponseSchema.safeParse(wait).success).toEqual(false);
    });
  }

  // Guards against bounds that turn down what servers name.
  for (const requestsPerSecond of [0.1, 1, 1_000_000]) {
    it(`is taken with ${requestsPerSecond} requests a second`, () => {
      const limit = {...LIMIT, requestsPerSecond};
      expect(limitSchema.safeParse(limit).success).toEqual(true);
    });
  }
});

describe('message to a leader', () => {
  let leader: PeerNetwork;
  let member: PeerNetwork;
  const election = {
    isLeader: true,
    zoneCount: 1,
    otherLeaders: [],
    waitForLeader: async () => {},
    share: {fraction: 1, renew: async () => {}},
  } as unknown as ZoneElection;

  beforeEach(() => {
    const network = MemoryNetwork.create();
    const identity = (instanceId: string) => ({
      instanceId,
      availabilityZone: 'z',
      region: 'r',
    });
    leader = network.join(identity('leader'));
    member = network.join(identity('member'));
  });

  // Guards against a retry budget without an end.
  it('earns no retries with an odd number of requests', async () => {
    const bounds = {ratio: 0.1, fleetAllowance: 0, windowMs: 1000, zones: 1};
    ZoneRetries.create(bounds).join({network: leader, election});
    for (const requests of ODD_NUMBERS) {
      const request = {service: 's', requests, cause: 'failure'};
      const response = await member.request(
        'leader',
        'repeat.take',
        request,
        WAIT_MS,
      );
      expect(response.err && response.val.kind).toEqual('rejected');
    }
  });

  // Guards against a negative loan, which fills the bucket of its lender.
  it('borrows no odd number of tokens', async () => {
    const team = {
      name: 'north',
      keyDigests: [],
      ratePerSecond: 0.001,
      burstTokens: 10,
    };
    const limiter = ZoneRateLimiter.create({
      bounds: {overrun: 0, slack: 0},
      election,
      network: Object.assign(leader, {
        connectTo: () => {},
        disconnect: () => {},
        wasRefused: () => false,
      }),
      findTeam: () => team,
    });
    for (const tokens of ODD_NUMBERS) {
      const request = {team: 'north', tokens};
      const response = await member.request(
        'leader',
        'rate.lend',
        request,
        WAIT_MS,
      );
      expect(response.err && response.val.kind).toEqual('rejected');
    }
    limiter.becomeLeader(performance.now());
    let admitted = 0;
    for (let requests = 0; requests < 5; requests += 1) {
      if ((await limiter.admit(team)).admitted) admitted += 1;
    }
    expect(admitted).toEqual(1);
  });
});
