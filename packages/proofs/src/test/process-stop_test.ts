/** Guards against a planned stop that cuts requests (P10). */
import {expect} from 'earl';
import {after, before, describe, it} from 'node:test';
import {sleep} from '@fireflytrack/time';
import {ProcessRun} from '../lib/process-run.js';
import type {CallAnswer} from '../lib/process-run.js';

let run: ProcessRun;

before(async () => {
  run = await ProcessRun.create({
    instances: 2,
    targets: 4,
    serviceTimeMs: 300,
    balancerWaitMs: 1000,
  });
});

after(async () => run.stop());

describe('planned stop', () => {
  it('answers every request that arrived before the port closed', async () => {
    const [, leaving] = run.fleet.instances;
    const answers: Promise<CallAnswer>[] = [];
    const send = (count: number) => {
      for (let index = 0; index < count; index += 1) {
        answers.push(run.lookup(leaving!, `${answers.length}`));
      }
    };
    send(8);
    await sleep(50);
    leaving!.process.signal('SIGTERM');
    // The balancer goes on sending until it has seen the readiness change.
    for (let round = 0; round < 4; round += 1) {
      await sleep(100);
      send(4);
    }
    const codes = (await Promise.all(answers)).map(answer => answer.code);
    expect(codes).toEqual(codes.map(() => 'ok'));
    expect(await leaving!.process.exited()).toEqual(0);
  });

  it('is killed instead: requests in flight are cut', async () => {
    const [remaining] = run.fleet.instances;
    const answer = run.lookup(remaining!);
    await sleep(50);
    remaining!.process.signal('SIGKILL');
    await expect(answer).toBeRejected();
  });
});
