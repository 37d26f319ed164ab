/**
 * Guards against grants that together exceed a server's limit: after an idle
 * period, after the limit has fallen, and while a former leader and deputies
 * grant beside the owner.
 */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {createLogger} from '@fireflytrack/telemetry';
import {KnownLimits} from '@fireflytrack/upstream';
import type {GrantDecision} from '@fireflytrack/upstream';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {LimitLedger} from '../lib/limit-ledger.js';
import type {LedgerRole} from '../lib/limit-ledger.js';
import {ZoneLimitGrants} from '../lib/zone-limit-grants.js';

const WINDOW_MS = 4000;
const STEP_MS = 50;
const NEW_LEADER_MS = 4000;

describe('limit ledger', () => {
  let clock: Clock;
  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
  });
  afterEach(() => clock.uninstall());

  function ask(
    ledger: LimitLedger,
    requestsPerSecond: number,
    role: LedgerRole = 'owner',
    isOnlyChoice = false,
  ): GrantDecision {
    const service = 'counting';
    const limit = {serverId: 's', startedAtMs: 1, service, requestsPerSecond};
    const demand = {service, team: 't', rank: 0, isOnlyChoice};
    return ledger.decide({...demand, candidates: [limit]}, role);
  }

  function takeAll(
    ledger: LimitLedger,
    limit: number,
    role: LedgerRole,
  ): number {
    let taken = 0;
    while (ask(ledger, limit, role).kind === 'granted') taken += 1;
    return taken;
  }

  /** Most grants in any window; `grantAt` returns those of one step. */
  function maxInWindow(
    stepCount: number,
    grantAt: (step: number) => number,
  ): number {
    const grants: number[] = [];
    for (let step = 0; step < stepCount; step += 1) {
      grants.push(grantAt(step));
      clock.tick(STEP_MS);
    }
    const span = WINDOW_MS / STEP_MS;
    let maximum = 0;
    for (let end = span; end <= grants.length; end += 1) {
      const inWindow = grants.slice(end - span, end);
      maximum = Math.max(
        maximum,
        inWindow.reduce((a, b) => a + b, 0),
      );
    }
    return maximum;
  }

  function allowed(limit: number): number {
    return 1.5 * limit * (WINDOW_MS / 1000) + 5;
  }

  for (const limit of [0.1, 1, 1.1, 7, 40, 1000]) {
    it(`keeps a limit of ${limit} after an idle period, and uses it`, () => {
      const ledger = LimitLedger.create();
      takeAll(ledger, limit, 'owner');
      clock.tick(60_000);
      const maximum = maxInWindow(400, () => takeAll(ledger, limit, 'owner'));
      expect(maximum).toBeLessThanOrEqual(allowed(limit));
      const used = maxInWindow(400, () => takeAll(ledger, limit, 'owner'));
      expect(used).toBeGreaterThanOrEqual(Math.floor(0.9 * 4 * limit));
    });

    it(`keeps a limit of ${limit} beside a former leader`, () => {
      const former = LimitLedger.create();
      takeAll(former, limit, 'owner');
      clock.tick(60_000);
      const owner = LimitLedger.create();
      // The former leader reads its row after 2 s at most.
      const REPLACED_STEPS = 2500 / STEP_MS;
      const maximum = maxInWindow(400, step => {
        if (step === 100) owner.becomeLeader();
        const byFormer =
          step < 100 + REPLACED_STEPS ? takeAll(former, limit, 'owner') : 0;
        return byFormer + (step < 100 ? 0 : takeAll(owner, limit, 'owner'));
      });
      expect(maximum).toBeLessThanOrEqual(allowed(limit));
    });

    it(`keeps a limit of ${limit} beside two deputies`, () => {
      const owner = LimitLedger.create();
      const deputies = [LimitLedger.create(), LimitLedger.create()];
      takeAll(owner, limit, 'owner');
      for (const deputy of deputies) takeAll(deputy, limit, 'deputy');
      clock.tick(60_000);
      const maximum = maxInWindow(400, () => {
        const byDeputies = deputies.map(deputy =>
          takeAll(deputy, limit, 'deputy'),
        );
        const sum = byDeputies.reduce((a, b) => a + b, 0);
        return sum + takeAll(owner, limit, 'owner');
      });
      expect(maximum).toBeLessThanOrEqual(allowed(limit));
    });
  }

  it('counts what was granted before a limit fell', () => {
    const ledger = LimitLedger.create();
    clock.tick(NEW_LEADER_MS);
    maxInWindow(100, () => takeAll(ledger, 40, 'owner'));
    clock.tick(1000);
    expect(takeAll(ledger, 1, 'owner')).toEqual(0);
    clock.tick(WINDOW_MS);
    expect(takeAll(ledger, 1, 'owner')).toBeGreaterThanOrEqual(1);
  });

  // Guards against refused callers that all return at the same moment.
  it('gives refused requests successive times to return', () => {
    const ledger = LimitLedger.create();
    clock.tick(NEW_LEADER_MS);
    const waitsMs = Array.from({length: 5}, () => {
      const decision = ask(ledger, 4, 'owner', true);
      return decision.kind === 'at-limit' ? decision.retryAfterMs : 0;
    });
    for (const [index, waitMs] of waitsMs.entries()) {
      expect(Math.round(waitMs)).toEqual(250 * (index + 1));
    }
    const last = Array.from({length: 50}, () => ask(ledger, 4, 'owner', true));
    expect(last.at(-1)).toEqual({kind: 'at-limit', retryAfterMs: 3000});
  });

  // Guards against instances without any leader that each use a whole limit.
  it('leaves an isolated instance its part in whole requests', async () => {
    const logger = createLogger({level: 'error', silent: true});
    const limits = KnownLimits.create(logger);
    const grants = ZoneLimitGrants.create({limits, instances: () => 40});
    const service = 'counting';
    const request = (requestsPerSecond: number) => ({
      service,
      team: 't',
      rank: 0,
      isOnlyChoice: true,
      candidates: [{serverId: 's', startedAtMs: 1, service, requestsPerSecond}],
    });
    const low = await grants.requestGrant(request(39));
    expect(low.kind).toEqual('unreachable');
    let granted = 0;
    for (let count = 0; count < 20; count += 1) {
      const decision = await grants.requestGrant(request(125));
      if (decision.kind === 'granted') granted += 1;
    }
    expect(granted).toEqual(3);
  });
});
