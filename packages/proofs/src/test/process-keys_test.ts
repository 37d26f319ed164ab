/**
 * Guards against team keys that reach backend servers or are still accepted
 * after their withdrawal, and against new requests to draining servers, with
 * real processes (P2, P3, P4, P9).
 */
import {expect} from 'earl';
import {after, before, describe, it} from 'node:test';
import {sleep} from '@fireflytrack/time';
import {ProcessHarness, TEAM} from '../lib/process-harness.js';

// The limits of docs/design.md for "within seconds".
const WITHDRAWAL_LIMIT_MS = 5000;
const DRAINING_LIMIT_MS = 3000;

let harness: ProcessHarness;

before(async () => {
  harness = await ProcessHarness.create({
    instances: 3,
    targets: 4,
    serviceTimeMs: 5,
  });
});

after(async () => harness.stop());

describe('team keys and draining servers', () => {
  it('sends backend servers the team of the key but not the key', async () => {
    const [first] = harness.fleet.instances;
    for (let index = 0; index < 20; index += 1)
      await harness.sendLookup(first!);
    const secret = harness.teamKey.slice(harness.teamKey.lastIndexOf('_') + 1);
    for (const target of harness.fleet.targets) {
      const {seen} = await harness.fleet.controlTarget(target);
      const routed = seen.filter(request => request.startsWith('/stock/'));
      expect(routed.some(request => request.includes(secret))).toEqual(false);
      const forTeam = routed.filter(request => request.includes(TEAM));
      expect(forTeam.length).toEqual(routed.length);
    }
  });

  it('sends no new requests to a draining server', async () => {
    const [first] = harness.fleet.instances;
    const drainingTarget = harness.fleet.targets[0]!;
    await harness.fleet.controlTarget(drainingTarget, {draining: true});
    const deadlineAtMs = performance.now() + DRAINING_LIMIT_MS;
    while (performance.now() < deadlineAtMs) await harness.sendLookup(first!);
    const stateBefore = await harness.fleet.controlTarget(drainingTarget);
    for (let index = 0; index < 100; index += 1) {
      const instance = harness.fleet.instances[index % 3]!;
      expect((await harness.sendLookup(instance)).code).toEqual('ok');
    }
    const stateAfter = await harness.fleet.controlTarget(drainingTarget);
    expect(stateAfter.seen.length - stateBefore.seen.length).toEqual(0);
    await harness.fleet.controlTarget(drainingTarget, {draining: false});
  });

  it('refuses a withdrawn key on open connections', async () => {
    const keyId = harness.teamKey.split('_')[1]!;
    await harness.fleet.runCommand('keys', 'withdraw', keyId);
    await sleep(WITHDRAWAL_LIMIT_MS);
    for (const instance of harness.fleet.instances) {
      expect((await harness.sendLookup(instance)).code).toEqual(
        'key_withdrawn',
      );
    }
  });
});
