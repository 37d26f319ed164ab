/** Guards against a planned stop that interrupts requests (P10). */
import {expect} from 'earl';
import {after, before, describe, it} from 'node:test';
import {sleep} from '@fireflytrack/time';
import {ProcessHarness} from '../lib/process-harness.js';
import type {CallResponse} from '../lib/process-harness.js';

let harness: ProcessHarness;

before(async () => {
  harness = await ProcessHarness.create({
    instances: 2,
    targets: 4,
    serviceTimeMs: 300,
    balancerWaitMs: 1000,
  });
});

after(async () => harness.stop());

describe('planned stop', () => {
  it('completes every request that arrived before the port closed', async () => {
    const [, leaving] = harness.fleet.instances;
    const responses: Promise<CallResponse>[] = [];
    const send = (count: number) => {
      for (let index = 0; index < count; index += 1) {
        responses.push(harness.sendLookup(leaving!, `${responses.length}`));
      }
    };
    send(8);
    await sleep(50);
    leaving!.process.signal('SIGTERM');
    // The balancer keeps sending until it has noticed the readiness change.
    for (let round = 0; round < 4; round += 1) {
      await sleep(100);
      send(4);
    }
    const codes = (await Promise.all(responses)).map(response => response.code);
    expect(codes).toEqual(codes.map(() => 'ok'));
    expect(await leaving!.process.waitForExit()).toEqual(0);
  });

  it('differs from a kill, which interrupts requests in flight', async () => {
    const [remaining] = harness.fleet.instances;
    const response = harness.sendLookup(remaining!);
    await sleep(50);
    remaining!.process.signal('SIGKILL');
    await expect(response).toBeRejected();
  });
});
