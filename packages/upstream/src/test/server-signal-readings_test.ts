/**
 * Guards against signals of servers that are misread: a server that leaves and
 * still gets requests, and a wrong value that takes a server out of use.
 */
import {createLogger} from '@fireflytrack/telemetry';
import {expect} from 'earl';
import fc from 'fast-check';
import {describe, it, mock} from 'node:test';
import {
  KnownSignals,
  MAX_PAUSE_MS,
  readPause,
  readServerLeaving,
} from '../lib/server-signals.js';

describe('leaving header', () => {
  const readings: [string | string[] | undefined, string][] = [
    [undefined, 'absent'],
    ['1', 'leaving'],
    [' 1 ', 'leaving'],
    ['True', 'leaving'],
    [['0', '1'], 'leaving'],
    ['0', 'unreadable'],
    ['', 'unreadable'],
    ['no', 'unreadable'],
    ['1, 1', 'unreadable'],
    ['1'.repeat(400), 'unreadable'],
  ];
  for (const [value, expected] of readings) {
    const shown = String(JSON.stringify(value)).slice(0, 30);
    // Guards against a value that means nothing and ends the use of a server.
    it(`is read as ${expected} from ${shown}`, () => {
      expect(readServerLeaving(value).kind).toEqual(expected as 'absent');
    });
  }
});

describe('pause header', () => {
  const readings: [string | string[], number | undefined][] = [
    ['1', 1000],
    [' 0.25 ', 250],
    [['1', '3'], 3000],
    [['x', '2'], 2000],
    ['60.001', MAX_PAUSE_MS],
    ['99999999999', MAX_PAUSE_MS],
    ['0', undefined],
    ['0.0', undefined],
    ['-1', undefined],
    ['', undefined],
    ['soon', undefined],
    ['1, 2', undefined],
    ['1e3', undefined],
    ['Infinity', undefined],
    ['Fri, 05 Dec 2026 09:00:00 GMT', undefined],
    ['1'.repeat(400), undefined],
  ];
  for (const [value, expected] of readings) {
    const shown = JSON.stringify(value).slice(0, 30);
    // Guards against a pause that never ends or has no sensible length.
    it(`is read as ${expected ?? 'unreadable'} from ${shown}`, () => {
      const reading = readPause(value);
      const read = reading.kind === 'asked' ? reading.pauseMs : reading.kind;
      expect(read).toEqual(expected ?? 'unreadable');
    });
  }

  // Guards against text that is read as an endless pause or as no number.
  it('is read as a bounded pause or not at all from any text', () => {
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.double().map(String)), text => {
        const reading = readPause(text);
        if (reading.kind !== 'asked') return reading.kind === 'unreadable';
        return reading.pauseMs > 0 && reading.pauseMs <= MAX_PAUSE_MS;
      }),
    );
  });
});

describe('known signals', () => {
  const LEAVING = {
    leaving: {kind: 'leaving'},
    pause: {kind: 'absent'},
  } as const;

  // Guards against memory that grows with every run of a server that left.
  it('forget the run that has been gone longest', () => {
    const logger = createLogger({level: 'error', silent: true});
    const signals = KnownSignals.create(logger);
    for (let index = 0; index <= 2000; index += 1) {
      const run = {serverId: `s${index}`, startedAtMs: 1, service: 's'};
      signals.apply(run, signals.list(run), LEAVING);
      signals.retire(run);
    }
    const isLeaving = (serverId: string) =>
      signals.list({serverId, startedAtMs: 1}).isLeaving;
    expect(isLeaving('s0')).toEqual(false);
    expect(isLeaving('s1')).toEqual(true);
  });

  // Guards against a log that fills with one server's odd or repeated values.
  it('are logged once each', () => {
    const logger = createLogger({level: 'error', silent: true});
    const lines: string[] = [];
    const keep = (message: string) => lines.push(message);
    mock.method(logger, 'info', keep);
    mock.method(logger, 'warn', keep);
    const signals = KnownSignals.create(logger);
    const run = {serverId: 's', startedAtMs: 1, service: 's'};
    const known = signals.list(run);
    for (const value of ['soon', 'Fri', 'Sat']) {
      const leaving = readServerLeaving(value);
      signals.apply(run, known, {leaving, pause: readPause(value)});
    }
    for (const value of ['5', '5.1', '20']) {
      const leaving = readServerLeaving('1');
      signals.apply(run, known, {leaving, pause: readPause(value)});
    }
    expect(lines).toEqual([
      'server signal not readable',
      'server signal not readable',
      'server leaving',
      'server asked for a pause',
      'server asked for a pause',
    ]);
  });
});
