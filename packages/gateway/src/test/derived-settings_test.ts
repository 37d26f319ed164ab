/**
 * Guards against waits that outlast the promises they serve, and against a fleet
 * whose instances all join at the same moment.
 */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {
  chooseBodyMemoryBytes,
  chooseFeedTimings,
  chooseStartDelayMs,
} from '../lib/derived-settings.js';
import type {GatewaySettings} from '../lib/gateway-settings.js';

type Promises = GatewaySettings['promises'];
type Store = GatewaySettings['store'];
type Instance = GatewaySettings['instance'];

function timingsFor(
  promises: Partial<Promises>,
  store: Partial<Store> = {},
): ReturnType<typeof chooseFeedTimings> {
  return chooseFeedTimings({
    promises: promises as Promises,
    store: store as Store,
  });
}

function waitsFor(
  promises: Partial<Promises>,
  store: Partial<Store> = {},
): {policyMs: number; serversMs: number} {
  const {policy, servers} = timingsFor(promises, store);
  return {policyMs: policy.waitMs, serversMs: servers.waitMs};
}

function delaysFor(instance: Partial<Instance>): number[] {
  return Array.from({length: 100}, () =>
    chooseStartDelayMs({instance: instance as Instance}),
  );
}

describe('values that follow from the settings', () => {
  describe('waits of the feeds', () => {
    for (const promiseMs of [1300, 1500, 2000, 3000, 10_000]) {
      it(`leave time to read again within ${promiseMs} ms`, () => {
        const {policyMs, serversMs} = waitsFor({
          policy_apply_ms: promiseMs,
          server_leave_ms: promiseMs,
        });
        expect(policyMs + 1000 <= promiseMs).toEqual(true);
        expect(serversMs + 1000 <= promiseMs).toEqual(true);
      });
    }

    it('are not endless for long promises, nor too short for short ones', () => {
      expect(waitsFor({policy_apply_ms: 60_000}).policyMs).toEqual(2000);
      expect(waitsFor({policy_apply_ms: 500}).policyMs).toEqual(300);
    });

    it('follow the promise on configurations if none on servers is set', () => {
      const waits = waitsFor({policy_apply_ms: 2200});
      expect(waits.serversMs).toEqual(waits.policyMs);
    });

    // Guards against members that leave a leader too late, whatever it holds.
    for (const promiseMs of [1300, 1500, 2000, 3000, 10_000]) {
      it(`let every instance read the table within ${promiseMs} ms`, () => {
        const {policy} = timingsFor({policy_apply_ms: promiseMs});
        expect(policy.keepsPromise).toEqual(true);
        for (let draw = 0; draw < 100; draw += 1) {
          const leaderMs = policy.drawLimitMs(true);
          const memberMs = policy.drawLimitMs(false);
          expect(policy.waitMs + 250 < leaderMs).toEqual(true);
          expect(leaderMs < memberMs).toEqual(true);
          expect(memberMs + 450 <= promiseMs).toEqual(true);
        }
      });
    }

    it('say when a promise is too short for them', () => {
      const short = timingsFor({policy_apply_ms: 1299});
      expect(short.policy.keepsPromise).toEqual(false);
      const long = timingsFor({policy_apply_ms: 2000}, {policy_wait_ms: 1001});
      expect(long.policy.keepsPromise).toEqual(false);
    });

    it('are taken from the settings if they are set', () => {
      const waits = waitsFor(
        {policy_apply_ms: 3000, server_leave_ms: 3000},
        {policy_wait_ms: 700, servers_wait_ms: 800},
      );
      expect(waits).toEqual({policyMs: 700, serversMs: 800});
    });
  });

  describe('delay of the start', () => {
    it('is none when callers are waiting', () => {
      expect(new Set(delaysFor({first_start: 'false'}))).toEqual(new Set([0]));
    });

    it('puts large instances before small ones at the first start', () => {
      const first_start = 'true';
      const large = delaysFor({first_start, processor_share: 1});
      const small = delaysFor({first_start, processor_share: 0.2});
      expect(Math.max(...large) < Math.min(...small)).toEqual(true);
    });

    it('is bounded for the smallest, and spread', () => {
      const delays = delaysFor({first_start: 'true', processor_share: 0.01});
      expect(Math.max(...delays) <= 2250).toEqual(true);
      expect(Math.max(...delays) - Math.min(...delays) > 750).toEqual(true);
    });
  });

  it('bounds bodies by a quarter of the memory', () => {
    const instance = {memory_mb: 400} as Instance;
    expect(chooseBodyMemoryBytes({instance})).toEqual(100_000_000);
  });
});
