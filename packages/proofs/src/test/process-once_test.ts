/**
 * Guards against orders that are executed twice and against wrong outcomes in
 * responses, with real processes that are killed or paused or whose store is
 * down or loses responses (P7, P8).
 */
import {expect} from 'earl';
import {after, before, describe, it} from 'node:test';
import {sleep} from '@fireflytrack/time';
import {ProcessHarness} from '../lib/process-harness.js';

let harness: ProcessHarness;

before(async () => {
  harness = await ProcessHarness.create({
    instances: 3,
    targets: 4,
    serviceTimeMs: 150,
  });
});

after(async () => harness.stop());

describe('orders with an idempotency key', () => {
  it('run once when sent through all instances at the same time', async () => {
    const {instances} = harness.fleet;
    const responses = await Promise.all(
      instances.map(instance => harness.sendOrder(instance, 'same-time')),
    );
    const succeeded = responses.filter(response => response.code === 'ok');
    expect(succeeded.length >= 1).toEqual(true);
    expect((await harness.countExecutions()).get('same-time')).toEqual(1);
  });

  it('run at most once when an instance is paused and resumed', async () => {
    const [first, second] = harness.fleet.instances;
    const response = harness.sendOrder(first!, 'paused').catch(() => undefined);
    await sleep(40);
    first!.process.signal('SIGSTOP');
    const retry = await harness.sendOrder(second!, 'paused');
    first!.process.signal('SIGCONT');
    await response;
    const executions = (await harness.countExecutions()).get('paused') ?? 0;
    expect(executions <= 1).toEqual(true);
    if (retry.outcome === 'not_run') {
      const secondRetry = await harness.sendOrder(second!, 'paused');
      expect(secondRetry.outcome).not.toEqual('not_run');
    }
  });

  it('are refused as not run while the store is down and run once afterwards', async () => {
    const [first, second] = harness.fleet.instances;
    await harness.fleet.setPlatformFaults({unavailable: true});
    const refused = await harness.sendOrder(first!, 'outage');
    expect(refused.outcome).toEqual('not_run');
    expect((await harness.countExecutions()).get('outage')).toEqual(undefined);
    expect((await harness.sendLookup(first!)).code).toEqual('ok');
    await harness.fleet.setPlatformFaults({unavailable: false});
    expect((await harness.sendOrder(second!, 'outage')).code).toEqual('ok');
    expect((await harness.countExecutions()).get('outage')).toEqual(1);
  });

  it('run once when the store loses responses', async () => {
    const [first, second] = harness.fleet.instances;
    for (let index = 0; index < 5; index += 1) {
      const key = `lost-${index}`;
      await harness.fleet.setPlatformFaults({lostAnswers: 1});
      await harness.sendOrder(first!, key);
      await harness.sendOrder(second!, key);
    }
    await harness.fleet.setPlatformFaults({lostAnswers: 0});
    for (const [key, count] of await harness.countExecutions()) {
      if (key.startsWith('lost-')) expect(count).toEqual(1);
    }
  });

  it('run once when an instance is killed during the execution', async () => {
    const [first, second, third] = harness.fleet.instances;
    const response = harness.sendOrder(third!, 'killed').catch(() => undefined);
    // Waits for the execution, because an order whose instance is killed between
    // claim and dispatch may never run.
    await waitForExecution('killed');
    third!.process.signal('SIGKILL');
    await response;
    for (const instance of [first!, second!]) {
      const retry = await harness.sendOrder(instance, 'killed');
      expect(retry.outcome).not.toEqual('not_run');
    }
    expect((await harness.countExecutions()).get('killed')).toEqual(1);
  });

  it('run at most once when an instance is killed while it writes the claim', async () => {
    const [first, second] = harness.fleet.instances;
    await harness.fleet.setPlatformFaults({delayMs: 120});
    const response = harness
      .sendOrder(second!, 'claimed')
      .catch(() => undefined);
    await sleep(40);
    second!.process.signal('SIGKILL');
    await response;
    await harness.fleet.setPlatformFaults({delayMs: 0});
    // Gives the write of the killed instance time to take effect.
    await sleep(200);
    const retries = [
      await harness.sendOrder(first!, 'claimed'),
      await harness.sendOrder(first!, 'claimed'),
    ];
    const executions = (await harness.countExecutions()).get('claimed') ?? 0;
    expect(executions <= 1).toEqual(true);
    for (const {code, outcome} of retries) {
      if (code === 'ok') expect(executions).toEqual(1);
      if (executions === 1) expect(outcome).not.toEqual('not_run');
    }
  });
});

const EXECUTION_TIMEOUT_MS = 5000;

/** Waits until a backend server has recorded an execution of the order. */
async function waitForExecution(key: string): Promise<void> {
  const deadlineAtMs = performance.now() + EXECUTION_TIMEOUT_MS;
  while (!(await harness.countExecutions()).has(key)) {
    if (performance.now() > deadlineAtMs)
      throw new Error(`${key} was not executed`);
    await sleep(5);
  }
}
