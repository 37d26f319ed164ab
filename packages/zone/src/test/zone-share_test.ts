/** Guards against two leaders that both grant the part of one instance. */
import {MemoryNetwork} from '@fireflytrack/wire';
import {expect} from 'earl';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {ZoneShare} from '../lib/zone-share.js';

const PROOF_MS = 1200;
const PINGS_MS = 500;

describe('share of a zone', () => {
  let clock: Clock;
  let network: MemoryNetwork;
  /** Run of the leader that each instance follows. */
  const followed = new Map<string, string>();
  const leaders: ZoneShare[] = [];

  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
    });
    network = MemoryNetwork.create({delayMs: () => 1});
  });
  afterEach(() => {
    for (const share of leaders.splice(0)) share.end();
    followed.clear();
    clock.uninstall();
  });

  function join(instanceId: string): ZoneShare {
    const zone = {availabilityZone: 'nord-a', region: 'nord'};
    const share = ZoneShare.create({
      network: network.join({instanceId, ...zone}),
      lifeId: `${instanceId}-run`,
      followedLifeId: () => followed.get(instanceId),
    });
    leaders.push(share);
    return share;
  }

  async function startZone(): Promise<ZoneShare> {
    const leader = join('a');
    for (const id of ['b', 'c', 'd']) {
      join(id);
      followed.set(id, 'a-run');
    }
    leader.begin({instances: 4});
    await clock.tickAsync(PINGS_MS);
    return leader;
  }

  it('is whole while all instances follow', async () => {
    const leader = await startZone();
    expect(leader.fraction).toEqual(1);
    expect(leader.instances).toEqual(4);
  });

  // Guards against grants of a leader that was suspended while others replaced
  // it: what it received before still looks like followers.
  it('is that of the leader alone after a suspension', async () => {
    const leader = await startZone();
    clock.jump(2 * PROOF_MS);
    expect(leader.fraction).toEqual(1 / 4);
  });

  // Guards against refusals after a pause of the leader's process.
  it('is renewed before a grant if the instances still follow', async () => {
    const leader = await startZone();
    clock.jump(2 * PROOF_MS);
    const renewed = leader.renew();
    await clock.tickAsync(10);
    await renewed;
    expect(leader.fraction).toEqual(1);
  });

  // Guards against refusals after each planned stop of an instance.
  it('is whole again when an instance leaves', async () => {
    const leader = await startZone();
    leaders[1]!.announceLeaving('a');
    network.leave('b');
    await clock.tickAsync(10);
    expect(leader.fraction).toEqual(1);
    expect(leader.instances).toEqual(3);
  });

  // Guards against a successor that grants a part which the former leader, cut
  // off from its followers only, still counts.
  it('of a successor grows only after the promises to the former leader', async () => {
    const leader = await startZone();
    const successor = join('e');
    for (const id of ['b', 'c', 'd']) followed.set(id, 'e-run');
    successor.begin({instances: 4});
    let most = 0;
    for (let elapsedMs = 0; elapsedMs < 3 * PROOF_MS; elapsedMs += 20) {
      most = Math.max(most, leader.fraction + successor.fraction);
      await clock.tickAsync(20);
    }
    // The successor itself was not counted by the former leader.
    expect(most).toBeLessThanOrEqual(1 + 1 / 4);
    expect(successor.fraction).toEqual(1);
  });

  // Guards against waits for a former leader that has ended.
  it('of a successor is whole at once if the former leader has ended', async () => {
    const leader = await startZone();
    leader.end();
    network.leave('a');
    const successor = join('e');
    for (const id of ['b', 'c', 'd']) followed.set(id, 'e-run');
    successor.begin({instances: 4, endedLifeId: 'a-run'});
    await clock.tickAsync(10);
    expect(successor.fraction).toEqual(1);
  });

  // Guards against a former leader that reaches nobody and grants the parts of
  // the others once it has forgotten them.
  it('keeps the parts of instances that are not reached', async () => {
    const leader = await startZone();
    for (const id of ['b', 'c', 'd']) {
      network.cut('a', id);
      network.cut(id, 'a');
    }
    await clock.tickAsync(60_000);
    expect(leader.fraction).toEqual(1 / 4);
  });
});
