/**
 * Guards against crashes that instances count twice, forget or never forgive.
 */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {createLogger} from '@fireflytrack/telemetry';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  CRASH_LIFETIME_MS,
  CrashSuspects,
  MAX_CRASHES_PER_SUSPECT,
  MAX_HOLD_MS,
  MAX_SUSPECTS,
} from '../lib/crash-suspects.js';
import {digestHead, digestRequest} from '../lib/request-fingerprint.js';
import type {RequestBody} from '../lib/upstream-request.js';

const HOLD_MS = 60_000;
const identityOf = (digest: string) => ({
  digest,
  headDigest: `head-${digest}`,
  route: 'reads',
  team: 'north',
  service: 'counting',
});
const runOf = (serverId: string, startedAtMs = 1) => ({serverId, startedAtMs});

describe('requests that may crash servers', () => {
  let clock: Clock;
  beforeEach(() => {
    clock = FakeTimers.install({toFake: ['performance']});
    clock.tick(60_000);
  });
  afterEach(() => clock.uninstall());

  const create = () =>
    CrashSuspects.create({
      holdAfter: 3,
      holdMs: HOLD_MS,
      logger: createLogger({level: 'error', silent: true}),
    });

  function createHeld(): CrashSuspects {
    const suspects = create();
    for (const id of ['s1', 's2', 's3'])
      suspects.recordCrash(identityOf('d'), runOf(id));
    return suspects;
  }

  it('are held back after three runs of servers have ended', () => {
    const suspects = create();
    const crash = (...run: Parameters<typeof runOf>) => {
      suspects.recordCrash(identityOf('d'), runOf(...run));
      const {crashes, isHeld} = suspects.find('d')!;
      return {crashes, isHeld};
    };
    expect(crash('s1', 1)).toEqual({crashes: 1, isHeld: false});
    // The same run, as another request that it ended saw it.
    expect(crash('s1', 1)).toEqual({crashes: 1, isHeld: false});
    // The server has started again under its id.
    expect(crash('s1', 2)).toEqual({crashes: 2, isHeld: false});
    expect(crash('s2', 1)).toEqual({crashes: 3, isHeld: true});
  });

  // Guards against instances that end with different counts.
  it('are counted the same in whatever order instances merge', () => {
    const [first, second] = [create(), create()];
    first.recordCrash(identityOf('d'), runOf('s1'));
    first.recordCrash(identityOf('d'), runOf('s2'));
    second.recordCrash(identityOf('d'), runOf('s2'));
    second.recordCrash(identityOf('d'), runOf('s3'));
    const states = [first.read('d')!, second.read('d')!];
    expect(first.merge(states[1]!)).toEqual(true);
    expect(second.merge(states[0]!)).toEqual(true);
    expect(first.merge(states[1]!)).toEqual(false);
    expect(first.find('d')!.crashes).toEqual(3);
    expect(second.find('d')!.isHeld).toEqual(true);
  });

  // Guards against a late report that suspects a harmless request again.
  it('stay cleared when a crash is told once more', () => {
    const suspects = createHeld();
    const before = suspects.read('d')!;
    suspects.recordSuccess('d');
    expect(suspects.find('d')).toEqual(undefined);
    expect(suspects.merge(before)).toEqual(false);
    expect(suspects.find('d')).toEqual(undefined);
    expect(suspects.watchesRoute('reads')).toEqual(false);
    suspects.recordCrash(identityOf('d'), runOf('s4'));
    expect(suspects.find('d')!.crashes).toEqual(1);
  });

  // Guards against instances that tell each other forever of crashes which they
  // have dropped.
  it('settle when more servers went down than are kept', () => {
    const [first, second] = [create(), create()];
    for (let index = 0; index < 2 * MAX_CRASHES_PER_SUSPECT; index += 1) {
      for (const [name, suspects] of Object.entries({first, second})) {
        clock.tick(1);
        suspects.recordCrash(identityOf('d'), runOf(`${name}-${index}`));
        suspects.recordSuccess('d');
      }
    }
    // The messages cross.
    const exchange = () => {
      const [fromFirst, fromSecond] = [first.read('d')!, second.read('d')!];
      const news = [first.merge(fromSecond), second.merge(fromFirst)];
      return news.includes(true);
    };
    exchange();
    expect(exchange()).toEqual(false);
    expect(first.read('d')!.crashes.length).toEqual(MAX_CRASHES_PER_SUSPECT);
    for (const id of ['s1', 's2', 's3']) {
      clock.tick(1);
      first.recordCrash(identityOf('d'), runOf(id));
    }
    expect(first.find('d')!.isHeld).toEqual(true);
  });

  it('are forgotten if no further crash follows', () => {
    const suspects = create();
    suspects.recordCrash(identityOf('d'), runOf('s1'));
    expect(suspects.watchesHead('reads', 'head-d')).toEqual(true);
    clock.tick(CRASH_LIFETIME_MS);
    expect(suspects.find('d')).toEqual(undefined);
    expect(suspects.watchesHead('reads', 'head-d')).toEqual(false);
    expect(suspects.listDigests()).toEqual([]);
  });

  it('are held longer after each trial', () => {
    const suspects = createHeld();
    clock.tick(CRASH_LIFETIME_MS);
    expect(suspects.tryStartTrial('d')).toEqual(true);
    expect(suspects.tryStartTrial('d')).toEqual(false);
    expect(suspects.find('d')!.trialInMs).toEqual(2 * HOLD_MS);
    for (let trial = 0; trial < 9; trial += 1) {
      clock.tick(suspects.find('d')!.trialInMs);
      expect(suspects.tryStartTrial('d')).toEqual(true);
    }
    expect(suspects.find('d')!.trialInMs).toEqual(MAX_HOLD_MS);
  });

  // Guards against an instance that makes a trial which others made already.
  it('keep the trials that another instance knows of', () => {
    const [first, second] = [createHeld(), createHeld()];
    clock.tick(HOLD_MS);
    expect(first.tryStartTrial('d')).toEqual(true);
    expect(second.merge(first.read('d')!)).toEqual(true);
    expect(second.tryStartTrial('d')).toEqual(false);
  });

  // Guards against a caller who sends many such requests, all different.
  it('are bounded, and those with the most crashes are kept', () => {
    const suspects = createHeld();
    for (let index = 0; index < 2 * MAX_SUSPECTS; index += 1) {
      suspects.recordCrash(identityOf(`other-${index}`), runOf('s9'));
    }
    expect(suspects.listDigests().length).toEqual(MAX_SUSPECTS);
    expect(suspects.find('d')!.isHeld).toEqual(true);
  });
});

describe('fingerprint of a request', () => {
  const digest = (
    change: {
      requestId?: string;
      team?: string;
      target?: string;
      body?: RequestBody;
    } = {},
  ) => {
    const {team = 'north', target = '/reads/1?a=1'} = change;
    const {requestId = 'r1', body = {kind: 'none' as const}} = change;
    const headers = ['Host', 'shop.example', 'Content-Length', '2000000'];
    const request = {requestId, method: 'GET', target, headers, body};
    return digestRequest(digestHead('counting', team, request), request);
  };
  const buffered = (text: string): RequestBody => ({
    kind: 'buffered',
    bytes: Buffer.from(text),
  });

  it('does not depend on the id of the request', () => {
    expect(digest({requestId: 'r2'})).toEqual(digest());
  });

  it('differs by team, target and body', () => {
    const digests = [
      digest(),
      digest({team: 'south'}),
      digest({target: '/reads/1?a=2'}),
      digest({body: buffered('a')}),
      digest({body: buffered('b')}),
    ];
    expect(new Set(digests).size).toEqual(digests.length);
  });
});
