/**
 * Guards the floor: too few servers in use, and sick servers near this instance
 * that come back because others far away are avoided too.
 */
import {createLogger} from '@fireflytrack/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {ServerRecord} from '../lib/server-record.js';
import {ServiceState} from '../lib/service-state.js';
import {catalogServerIn} from '../testing/catalog-server.js';

const SERVERS = 12;
const NEAR = 4;
const MOST_SUSPECTED = 3;
const LONGEST_PAUSE_MS = 10_000;

describe('service state', () => {
  let clock: Clock;
  let state: ServiceState;
  let told: string[];
  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
    clock.tick(60_000);
    told = [];
    state = ServiceState.create({
      name: 'counting',
      budget: {requestArrived: () => {}, take: async () => true},
      floorShare: 0.7,
      distanceOf: record => (record.serverId.startsWith('near') ? 0 : 1),
      onFailure: (serverId, failedTrial) =>
        told.push(`${serverId} ${failedTrial}`),
      logger: createLogger({level: 'error', silent: true}),
    });
    for (let index = 0; index < SERVERS; index += 1) {
      const name = index < NEAR ? `near-${index}` : `far-${index}`;
      const server = catalogServerIn(name, 'z1');
      state.add(
        ServerRecord.create(
          server,
          () => 10,
          () => 0,
        ),
      );
    }
  });
  afterEach(() => clock.uninstall());

  function avoided(): string[] {
    const nowMs = performance.now();
    return state.records
      .filter(record => record.isAvoided(nowMs))
      .map(record => record.serverId);
  }

  it('keeps the floor when every server fails at the same time', () => {
    for (const record of state.records)
      state.recordFailure(record, 'fault', 'reset');
    expect(avoided().length).toEqual(MOST_SUSPECTED);
  });

  it('takes far servers back before near ones', () => {
    for (const record of state.records) {
      state.recordFailure(record, 'error-status', 'status 500');
    }
    expect(avoided().every(name => name.startsWith('near'))).toEqual(true);
  });

  it('avoids servers that failed a trial beside those under suspicion', () => {
    const [one, two, ...others] = state.records;
    const sick = [one!, two!];
    for (const record of sick) state.recordFailure(record, 'fault', 'reset');
    clock.tick(LONGEST_PAUSE_MS);
    for (const record of sick) state.recordFailure(record, 'fault', 'reset');
    for (const record of others) state.recordFailure(record, 'fault', 'reset');
    expect(avoided().length).toEqual(2 + MOST_SUSPECTED);
    expect(told.includes('near-0 true')).toEqual(true);
  });

  it('never avoids more than half of the servers', () => {
    for (let round = 0; round < 6; round += 1) {
      for (const record of state.records) {
        state.recordFailure(record, 'fault', 'reset');
        clock.tick(1300);
      }
      expect(avoided().length <= SERVERS / 2).toEqual(true);
    }
  });
});
