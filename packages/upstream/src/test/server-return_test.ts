/**
 * Guards against servers that recover and get no request for seconds, because an
 * instance still acts on failures that are long past.
 */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {ServerRecord} from '../lib/server-record.js';
import type {FailureKind} from '../lib/server-record.js';
import {catalogServerIn} from '../testing/catalog-server.js';

// Operators count a server as healthy 2 s after its last failure.
const HEALTHY_AFTER_MS = 2000;
const FAILURES = 8;

describe('return of a failed server', () => {
  let clock: Clock;
  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
    clock.tick(60_000);
  });
  afterEach(() => clock.uninstall());

  const kinds: FailureKind[] = ['fault', 'error-status', 'reported'];
  for (const kind of kinds) {
    it(`is not avoided for longer after many failures: ${kind}`, () => {
      const record = ServerRecord.create(
        catalogServerIn('s1', 'z1'),
        () => 10,
        () => 0.999,
      );
      for (let failure = 0; failure < FAILURES; failure += 1) {
        record.recordFailure(kind);
        const avoidedMs = record.avoidedUntilMs - performance.now();
        expect(avoidedMs > 0 && avoidedMs < HEALTHY_AFTER_MS).toEqual(true);
        clock.tick(avoidedMs);
      }
    });
  }
});
