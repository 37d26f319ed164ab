/**
 * Guards against orders that run twice or false statements about them, with
 * real processes that are killed, paused or cut off from the store (P7, P8).
 */
import {expect} from 'earl';
import {after, before, describe, it} from 'node:test';
import {sleep} from '@fireflytrack/time';
import {ProcessRun} from '../lib/process-run.js';

let run: ProcessRun;

before(async () => {
  run = await ProcessRun.create({instances: 3, targets: 4, serviceTimeMs: 150});
});

after(async () => run.stop());

describe('orders over failing instances', () => {
  it('run once when repeated through all instances at the same time', async () => {
    const {instances} = run.fleet;
    const answers = await Promise.all(
      instances.map(instance => run.order(instance, 'same-time')),
    );
    const run1 = answers.filter(answer => answer.code === 'ok');
    expect(run1.length >= 1).toEqual(true);
    expect((await run.executions()).get('same-time')).toEqual(1);
  });

  it('run once when the first instance is paused and continues', async () => {
    const [first, second] = run.fleet.instances;
    const answer = run.order(first!, 'paused').catch(() => undefined);
    await sleep(40);
    first!.process.signal('SIGSTOP');
    const repeat = await run.order(second!, 'paused');
    first!.process.signal('SIGCONT');
    await answer;
    const executions = (await run.executions()).get('paused') ?? 0;
    expect(executions <= 1).toEqual(true);
    if (repeat.outcome === 'not_run') {
      const after = await run.order(second!, 'paused');
      expect(after.outcome).not.toEqual('not_run');
    }
  });

  it('are refused as not run while the store is down, then run once', async () => {
    const [first, second] = run.fleet.instances;
    await run.fleet.controlPlatform({unavailable: true});
    const refused = await run.order(first!, 'outage');
    expect(refused.outcome).toEqual('not_run');
    expect((await run.executions()).get('outage')).toEqual(undefined);
    expect((await run.lookup(first!)).code).toEqual('ok');
    await run.fleet.controlPlatform({unavailable: false});
    expect((await run.order(second!, 'outage')).code).toEqual('ok');
    expect((await run.executions()).get('outage')).toEqual(1);
  });

  it('run once when the store loses answers', async () => {
    const [first, second] = run.fleet.instances;
    for (let index = 0; index < 5; index += 1) {
      const key = `lost-${index}`;
      await run.fleet.controlPlatform({lostAnswers: 1});
      await run.order(first!, key);
      await run.order(second!, key);
    }
    await run.fleet.controlPlatform({lostAnswers: 0});
    for (const [key, count] of await run.executions()) {
      if (key.startsWith('lost-')) expect(count).toEqual(1);
    }
  });

  it('run once when the first instance is killed', async () => {
    const [first, second, third] = run.fleet.instances;
    const answer = run.order(third!, 'killed').catch(() => undefined);
    // A kill between the claim and the dispatch is another case: then the order
    // may never run.
    await executionOf('killed');
    third!.process.signal('SIGKILL');
    await answer;
    for (const instance of [first!, second!]) {
      const repeat = await run.order(instance, 'killed');
      expect(repeat.outcome).not.toEqual('not_run');
    }
    expect((await run.executions()).get('killed')).toEqual(1);
  });

  it('run at most once when an instance is killed while it claims', async () => {
    const [first, second] = run.fleet.instances;
    await run.fleet.controlPlatform({delayMs: 120});
    const answer = run.order(second!, 'claimed').catch(() => undefined);
    await sleep(40);
    second!.process.signal('SIGKILL');
    await answer;
    await run.fleet.controlPlatform({delayMs: 0});
    // The write of the killed instance may still take effect.
    await sleep(200);
    const repeats = [
      await run.order(first!, 'claimed'),
      await run.order(first!, 'claimed'),
    ];
    const executions = (await run.executions()).get('claimed') ?? 0;
    expect(executions <= 1).toEqual(true);
    for (const {code, outcome} of repeats) {
      if (code === 'ok') expect(executions).toEqual(1);
      if (executions === 1) expect(outcome).not.toEqual('not_run');
    }
  });
});

const EXECUTION_WAIT_MS = 5000;

/** Waits until a backend server has begun to run the order. */
async function executionOf(key: string): Promise<void> {
  const boundAtMs = performance.now() + EXECUTION_WAIT_MS;
  while (!(await run.executions()).has(key)) {
    if (performance.now() > boundAtMs) throw new Error(`${key} did not run`);
    await sleep(5);
  }
}
