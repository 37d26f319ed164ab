/**
 * Guards against gray servers that cost a request at every instance and every
 * trial, and against healthy servers that are avoided for a dead connection.
 */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {ServerPicker} from '../lib/server-picker.js';
import type {PickOptions} from '../lib/server-picker.js';
import {ServerRecord} from '../lib/server-record.js';
import {catalogServerIn} from '../testing/catalog-server.js';

const AVOIDANCE_MS = 1600;

describe('server record', () => {
  let clock: Clock;
  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
    clock.tick(60_000);
  });
  afterEach(() => clock.uninstall());

  function recordIn(zone: string, random = 0): ServerRecord {
    const server = catalogServerIn(`in-${zone}`, zone);
    return ServerRecord.create(
      server,
      () => 10,
      () => random,
    );
  }

  function isAvoided(record: ServerRecord): boolean {
    return record.isAvoided(performance.now());
  }

  it('is on trial after the avoidance until a request succeeds', () => {
    const record = recordIn('z1');
    record.recordFailure('error-status');
    clock.tick(AVOIDANCE_MS - 1);
    expect(isAvoided(record)).toEqual(true);
    clock.tick(1);
    expect(isAvoided(record)).toEqual(false);
    expect(record.isOnTrial(performance.now())).toEqual(true);
    record.recordSuccess();
    expect(record.isOnTrial(performance.now())).toEqual(false);
  });

  it('stays on trial after responses to requests sent before the failure', () => {
    const record = recordIn('z1');
    record.recordFailure('error-status');
    record.recordSuccess();
    clock.tick(AVOIDANCE_MS);
    expect(record.isOnTrial(performance.now())).toEqual(true);
  });

  it('is not avoided for one error after a typical processing time', () => {
    const record = recordIn('z1');
    record.recordFailure('late-error-status');
    expect(isAvoided(record)).toEqual(false);
    record.recordFailure('late-error-status');
    record.recordFailure('late-error-status');
    expect(isAvoided(record)).toEqual(true);
  });

  it('leaves the trial to repeatable requests for longer after failed trials', () => {
    const record = recordIn('z1');
    const failedAtMs = performance.now();
    record.recordFailure('error-status');
    expect(record.onceTrialAtMs - failedAtMs).toEqual(2000);
    const waits: number[] = [];
    for (let trial = 0; trial < 4; trial += 1) {
      clock.tick(AVOIDANCE_MS);
      record.recordFailure('error-status');
      waits.push(record.onceTrialAtMs - performance.now());
    }
    expect(waits).toEqual([4000, 8000, 8000, 8000]);
    clock.tick(AVOIDANCE_MS);
    record.recordSuccess();
    record.recordFailure('error-status');
    expect(record.onceTrialAtMs - performance.now()).toEqual(2000);
  });

  // A server that fails now and then has no long bout, and its next trial is due
  // as soon as that of any other.
  it('forgets failed trials when nobody reports the server for long', () => {
    const record = recordIn('z1');
    record.recordFailure('reported');
    clock.tick(2500);
    record.recordFailure('reported');
    clock.tick(12_000);
    record.recordFailure('reported');
    expect(record.onceTrialAtMs - performance.now()).toEqual(2000);
  });

  it('counts simultaneous failures as one', () => {
    const record = recordIn('z1');
    record.recordFailure('error-status');
    clock.tick(100);
    record.recordFailure('error-status');
    record.recordFailure('reported');
    clock.tick(AVOIDANCE_MS - 100);
    expect(isAvoided(record)).toEqual(false);
  });

  it('is avoided longer when the trial of another instance failed', () => {
    const record = recordIn('z1');
    record.recordFailure('reported');
    clock.tick(AVOIDANCE_MS);
    expect(isAvoided(record)).toEqual(true);
    record.recordFailure('reported');
    clock.tick(AVOIDANCE_MS);
    expect(isAvoided(record)).toEqual(true);
    clock.tick(AVOIDANCE_MS);
    expect(isAvoided(record)).toEqual(false);
  });

  it('is avoided longer where the failure was only reported', () => {
    const observed = recordIn('z1');
    const reported = recordIn('z1');
    observed.recordFailure('fault');
    reported.recordFailure('reported');
    expect(reported.avoidedUntilMs > observed.avoidedUntilMs).toEqual(true);
  });

  it('is not avoided for one dead connection', () => {
    const record = recordIn('z1');
    record.recordFailure('stale-connection');
    expect(isAvoided(record)).toEqual(false);
    expect(record.trustsIdleConnections(performance.now())).toEqual(false);
  });

  describe('picker', () => {
    const options: PickOptions = {
      targetLatencyMs: 1000,
      baselineMs: 300,
      tried: new Set(),
      withheld: new Set(),
      isRetry: false,
    };
    const picker = ServerPicker.create(
      {availabilityZone: 'z1', region: 'r1'},
      () => 'r1',
      () => 0.5,
    );

    it('sends one request at a time to a server on trial', () => {
      const near = recordIn('z1');
      const far = recordIn('z2');
      near.recordFailure('error-status');
      clock.tick(AVOIDANCE_MS);
      expect(picker.pick([near, far], options)).toEqual(near);
      near.inFlight = 1;
      expect(picker.pick([near, far], options)).toEqual(far);
    });

    it('sends a withheld server only requests that may make its trial', () => {
      const near = recordIn('z1');
      const far = recordIn('z2');
      near.recordFailure('error-status');
      clock.tick(AVOIDANCE_MS);
      expect(picker.pick([near, far], options)).toEqual(near);
      const withheld = new Set([near]);
      expect(picker.pick([near, far], {...options, withheld})).toEqual(far);
    });

    it('does not send retries to a server on trial', () => {
      const near = recordIn('z1');
      const far = recordIn('z2');
      near.recordFailure('error-status');
      clock.tick(AVOIDANCE_MS);
      const pick = picker.pick([near, far], {...options, isRetry: true});
      expect(pick).toEqual(far);
    });
  });
});
