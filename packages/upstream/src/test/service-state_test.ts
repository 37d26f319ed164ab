/**
 * Guards the floor: against too few servers in use, and against unhealthy near
 * servers that are readmitted because distant ones are avoided as well.
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
const MAX_SUSPECTED = 3;
const LONGEST_AVOIDANCE_MS = 10_000;

describe('service state', () => {
  let clock: Clock;
  let state: ServiceState;
  let reported: string[];
  let instances: number | undefined;
  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
    clock.tick(60_000);
    reported = [];
    instances = 10;
    state = ServiceState.create({
      name: 'counting',
      countedInstances: () => instances,
      budget: {recordRequest: () => {}, takeRetry: async () => true},
      floorShare: 0.7,
      distanceOf: record => (record.serverId.startsWith('near') ? 0 : 1),
      onFailure: (serverId, failedTrial) =>
        reported.push(`${serverId} ${failedTrial}`),
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

  // Guards against a floor that is met by servers that take nothing new.
  it('counts a server that pauses and none that leaves', () => {
    for (const {signals} of state.records.slice(0, 5)) signals.isLeaving = true;
    for (const {signals} of state.records.slice(5)) {
      signals.pausedUntilMs = performance.now() + 1000;
    }
    for (const record of state.records)
      state.recordFailure(record, 'fault', 'reset');
    const staying = new Set(state.records.slice(5).map(r => r.serverId));
    expect(avoided().filter(id => staying.has(id)).length).toEqual(2);
  });

  it('keeps the floor when every server fails at the same time', () => {
    for (const record of state.records)
      state.recordFailure(record, 'fault', 'reset');
    expect(avoided().length).toEqual(MAX_SUSPECTED);
  });

  it('readmits far servers before near ones', () => {
    for (const record of state.records) {
      state.recordFailure(record, 'error-status', 'status 500');
    }
    expect(avoided().every(name => name.startsWith('near'))).toEqual(true);
  });

  // Without these counts an operator cannot tell an avoided server from one that
  // the floor returned and nobody chooses.
  it('counts each server by one belief, and the readmissions', () => {
    const [first, second] = state.records;
    state.recordFailure(first!, 'fault', 'reset');
    clock.tick(LONGEST_AVOIDANCE_MS);
    expect(state.countBeliefs()).toEqual({
      suspected: 0,
      failing: 0,
      onTrial: 1,
      trusted: SERVERS - 1,
    });
    state.recordFailure(first!, 'fault', 'reset');
    state.recordFailure(second!, 'fault', 'reset');
    expect(state.countBeliefs()).toEqual({
      suspected: 1,
      failing: 1,
      onTrial: 0,
      trusted: SERVERS - 2,
    });
    expect(state.readmissions).toEqual(0);
    for (const record of state.records)
      state.recordFailure(record, 'fault', 'reset');
    expect(state.readmissions).toEqual(SERVERS - 1 - MAX_SUSPECTED);
  });

  it('avoids servers that failed a trial in addition to suspected ones', () => {
    const [first, second, ...others] = state.records;
    const unhealthy = [first!, second!];
    for (const record of unhealthy)
      state.recordFailure(record, 'fault', 'reset');
    clock.tick(LONGEST_AVOIDANCE_MS);
    for (const record of unhealthy)
      state.recordFailure(record, 'fault', 'reset');
    for (const record of others) state.recordFailure(record, 'fault', 'reset');
    expect(avoided().length).toEqual(2 + MAX_SUSPECTED);
    expect(reported.includes('near-0 true')).toEqual(true);
  });

  function failFirst(count: number): void {
    for (const record of state.records.slice(0, count)) {
      state.recordFailure(record, 'error-status', 'status 500');
    }
    clock.tick(1700);
  }

  // Guards against servers that recover and that the whole fleet leaves unused.
  it('withholds servers on trial within the floor while many requests fail', () => {
    for (const count of [MAX_SUSPECTED, MAX_SUSPECTED + 1]) {
      failFirst(count);
      expect(state.findWithheld().size).toEqual(MAX_SUSPECTED);
      clock.tick(LONGEST_AVOIDANCE_MS);
      expect(state.findWithheld().size).toEqual(0);
      for (const record of state.records) record.recordSuccess();
    }
  });

  // Guards against one-time requests that pay for trials which the floor does not
  // ask for.
  it('withholds up to half of the servers while few requests fail', () => {
    for (let count = 0; count < 100; count += 1) {
      state.recordResponse(state.records.at(-1)!, 'reads', 100, 1000);
    }
    failFirst(MAX_SUSPECTED + 1);
    const withheld = state.findWithheld().size;
    expect(withheld).toEqual(MAX_SUSPECTED + 1);
    expect(withheld <= SERVERS / 2).toEqual(true);
  });

  for (const cause of ['requests end without an answer', 'nobody counted']) {
    it(`keeps to the floor when ${cause}`, () => {
      for (let count = 0; count < 100; count += 1) {
        state.recordResponse(state.records.at(-1)!, 'reads', 100, 1000);
      }
      if (cause === 'nobody counted') instances = undefined;
      else for (let count = 0; count < 15; count += 1) state.recordUnserved();
      failFirst(MAX_SUSPECTED + 1);
      expect(state.findWithheld().size).toEqual(MAX_SUSPECTED);
    });
  }

  describe('no response by the deadline', () => {
    const WORK_MS = 200;
    let record: ServerRecord;
    beforeEach(() => {
      record = state.records[0]!;
      for (let count = 0; count < 20; count += 1) {
        state.recordResponse(state.records.at(-1)!, 'reads', WORK_MS, 1000);
      }
    });

    it('is reported of a server whose route is normally fast', () => {
      state.recordMiss(record, 'reads', 1000);
      expect(avoided()).toEqual([record.serverId]);
      expect(reported).toEqual([`${record.serverId} false`]);
    });

    // Guards against sound servers that callers with little time take out of use.
    it('says nothing when the caller left little time', () => {
      state.recordMiss(record, 'reads', WORK_MS * 1.5);
      expect(avoided()).toEqual([]);
      expect(reported).toEqual([]);
    });

    // Guards against a route that never gets a response and takes one server after
    // the other out of use for the whole fleet.
    it('concerns this instance only if the route never had a response', () => {
      state.recordMiss(record, 'reports', 1000);
      expect(avoided()).toEqual([record.serverId]);
      expect(reported).toEqual([]);
    });

    it('concerns this instance only if the last response was long ago', () => {
      clock.tick(61_000);
      state.recordMiss(record, 'reads', 1000);
      expect(reported).toEqual([]);
    });
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
