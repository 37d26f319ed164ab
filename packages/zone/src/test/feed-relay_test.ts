/**
 * Guards against changes that a leader withholds or reports as fresher than
 * they are.
 */
import type {ChangeFeed, FeedError, FeedPage} from '@fireflytrack/discovery';
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {MemoryNetwork} from '@fireflytrack/wire';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {z} from 'zod';
import {FeedRelay} from '../lib/feed-relay.js';
import {RelayedFeed} from '../lib/relayed-feed.js';
import type {ZoneElection} from '../lib/zone-election.js';

const MAX_AGE_MS = 1400;
const WAIT_MS = 600;
const RESPONSE_MARGIN_MS = 50;
const LIMIT_MS = WAIT_MS + RESPONSE_MARGIN_MS;
const START_WAIT_MS = 500;

const at = (revision: number, era = 1) => ({era, revision});

function page(
  revision: number,
  rows: Record<string, string | undefined>,
  era = 1,
): FeedPage<string> {
  const list = Object.entries(rows).map(([key, item]) => ({key, item}));
  return {rows: list, position: at(revision, era), confirmedOffsetMs: 0};
}

describe('relayed feed', () => {
  let clock: Clock;
  let relay: FeedRelay<string>;
  let feed: RelayedFeed<string>;
  let ageMs: number;
  let memberAgeMs: number;
  let leaderIsActive: boolean;
  let directReads: number;
  let directWaitsMs: number[];
  let tableFails: boolean;
  let network: MemoryNetwork;
  let isConnected: boolean;
  let memberElection: Record<string, unknown>;

  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    network = MemoryNetwork.create();
    const identity = (instanceId: string) => ({
      instanceId,
      availabilityZone: 'z',
      region: 'r',
    });
    const leader = network.join(identity('leader'));
    const member = network.join(identity('member'));
    [ageMs, leaderIsActive, directReads] = [100, true, 0];
    memberAgeMs = 0;
    isConnected = true;
    memberElection = {
      isLeader: false,
      reachableLeader: {instanceId: 'leader'},
      feedSource: {instanceId: 'leader'},
      connect: async () => isConnected,
    };
    relay = FeedRelay.create<string>(
      {name: 'f', maxAgeMs: MAX_AGE_MS},
      () => ageMs,
    );
    relay.serve(leader, {
      get isLeader() {
        return leaderIsActive;
      },
    });
    [directWaitsMs, tableFails] = [[], false];
    const readDirectly = (): Result<FeedPage<string>, FeedError> => {
      directReads += 1;
      if (tableFails) return Err({kind: 'unavailable', message: 'cut'});
      return Ok(page(50, {direct: 'yes'}));
    };
    const direct: ChangeFeed<string> = {
      readAll: async () => readDirectly(),
      changesAfter: async (_position, waitMs) => {
        directWaitsMs.push(waitMs);
        return readDirectly();
      },
      close: async () => {},
    };
    feed = RelayedFeed.create<string>({
      name: 'f',
      direct,
      itemSchema: z.string(),
      timing: {waitMs: WAIT_MS, drawLimitMs: () => LIMIT_MS},
      ageMs: () => memberAgeMs,
      startWaitMs: START_WAIT_MS,
    });
    feed.useRelay({
      network: member,
      election: memberElection as unknown as ZoneElection,
    });
    relay.storePage(page(10, {a: '1', b: '2'}), true);
  });
  afterEach(() => clock.uninstall());

  async function settle<T>(promise: Promise<T>, advanceMs = 5): Promise<T> {
    await clock.tickAsync(advanceMs);
    return promise;
  }

  it('returns all rows, then changes and removals as they occur', async () => {
    const all = (await settle(feed.readAll(0))).unwrap();
    expect(all.rows.length).toEqual(2);
    expect(all.position).toEqual(at(10));
    const waiting = feed.changesAfter(at(10), 5000);
    await clock.tickAsync(300);
    relay.storePage(page(12, {a: undefined}), false);
    const change = (await settle(waiting)).unwrap();
    expect(change.rows).toEqual([{key: 'a', item: undefined}]);
    expect(change.position).toEqual(at(12));
    expect(directReads).toEqual(0);
  });

  it('includes the age at the leader and the wait in the confirmation offset', async () => {
    const all = (await settle(feed.readAll(0))).unwrap();
    expect(all.confirmedOffsetMs).toEqual(-100);
    const unchanged = settle(feed.changesAfter(at(10), 5000), WAIT_MS + 5);
    expect((await unchanged).unwrap().confirmedOffsetMs).toEqual(WAIT_MS - 100);
  });

  // Guards against a fleet that reads the table while its leaders start.
  it('waits for a leader whose feed is confirmed in a moment', async () => {
    ageMs = Infinity;
    const reading = feed.readAll(0);
    await clock.tickAsync(200);
    ageMs = 10;
    relay.announceConfirmation();
    expect((await settle(reading)).unwrap().rows.length).toEqual(2);
    expect(directReads).toEqual(0);
  });

  it('reads the table when the feed of the leader is out of date', async () => {
    ageMs = MAX_AGE_MS + 1;
    const read = (await settle(feed.changesAfter(at(10), 1000))).unwrap();
    expect(read.rows[0]!.key).toEqual('direct');
    expect(directReads).toEqual(1);
  });

  // Guards against ages that add up over the instances of a relay, until each
  // reads the table itself.
  it('returns when the feed of the leader was confirmed again', async () => {
    const waiting = feed.changesAfter(at(10), 5000);
    await clock.tickAsync(200);
    ageMs = 20;
    relay.storePage(page(10, {}), false);
    const unchanged = (await settle(waiting)).unwrap();
    expect(unchanged.rows).toEqual([]);
    expect(unchanged.confirmedOffsetMs).toEqual(200 - 20);
    expect(directReads).toEqual(0);
  });

  // Guards against a leader that holds a request although it has lost the table.
  it('reads the table at its own limit, whatever the leader does', async () => {
    memberAgeMs = 400;
    const waiting = feed.changesAfter(at(10), 5000);
    await clock.tickAsync(LIMIT_MS - memberAgeMs - RESPONSE_MARGIN_MS - 1);
    expect(directReads).toEqual(0);
    const unchanged = (await settle(waiting)).unwrap();
    expect(unchanged.rows).toEqual([]);
    memberAgeMs = LIMIT_MS - RESPONSE_MARGIN_MS;
    await settle(feed.changesAfter(at(10), 5000));
    expect(directReads).toEqual(1);
    expect(directWaitsMs).toEqual([0]);
  });

  // Guards against a change that a silent leader keeps back.
  it('reads the table at its limit while the leader is silent', async () => {
    network.suspend('leader');
    memberAgeMs = 100;
    void feed.changesAfter(at(10), 5000);
    await clock.tickAsync(LIMIT_MS - memberAgeMs - 1);
    expect(directReads).toEqual(0);
    await clock.tickAsync(5);
    expect(directReads).toEqual(1);
  });

  it('lets the table wait no longer than until the age of its calls', async () => {
    isConnected = false;
    memberAgeMs = 250;
    await settle(feed.changesAfter(at(10), 5000));
    expect(directWaitsMs).toEqual([WAIT_MS - memberAgeMs]);
  });

  // Guards against an instance that has lost the table and no longer asks a
  // leader that has not.
  it('asks the leader beyond its limit when the table does not respond', async () => {
    tableFails = true;
    memberAgeMs = LIMIT_MS + 100;
    const failed = await settle(feed.changesAfter(at(10), 5000));
    expect(failed.ok).toEqual(false);
    const relayed = (await settle(feed.changesAfter(at(10), 5000))).unwrap();
    expect(relayed.origin?.leader).toEqual('leader');
    expect(Math.abs(relayed.confirmedOffsetMs + ageMs) <= 1).toEqual(true);
    expect(directReads).toEqual(1);
  });

  it('does not take a page without news for the end of an outage', async () => {
    tableFails = true;
    memberAgeMs = LIMIT_MS + 100;
    ageMs = memberAgeMs + 1;
    for (let call = 0; call < 4; call += 1) {
      const failed = await settle(feed.changesAfter(at(10), 5000));
      expect(failed.ok).toEqual(false);
    }
    expect(directReads).toEqual(4);
  });

  it('reads the table while the leader is not reached', async () => {
    isConnected = false;
    await settle(feed.changesAfter(at(10), 1000));
    expect(directReads).toEqual(1);
  });

  // Guards against a read of the table by each instance of a fleet that starts.
  it('waits at its start for a leader, but not for long', async () => {
    memberElection['reachableLeader'] = undefined;
    memberElection['feedSource'] = undefined;
    const reading = feed.readAll(0);
    await clock.tickAsync(START_WAIT_MS - 20);
    expect(directReads).toEqual(0);
    memberElection['reachableLeader'] = {instanceId: 'leader'};
    memberElection['feedSource'] = {instanceId: 'leader'};
    expect((await settle(reading, 20)).unwrap().rows.length).toEqual(2);
    expect(directReads).toEqual(0);
  });

  it('reads the table if there is no leader at its start', async () => {
    memberElection['reachableLeader'] = undefined;
    memberElection['feedSource'] = undefined;
    await settle(feed.readAll(0), START_WAIT_MS + 20);
    expect(directReads).toEqual(1);
  });

  it('reads the table when the leader was replaced', async () => {
    leaderIsActive = false;
    await settle(feed.changesAfter(at(10), 1000));
    expect(directReads).toEqual(1);
  });

  it('requests all rows when the leader lacks the earlier changes', async () => {
    const response = await settle(feed.changesAfter(at(9), 1000));
    if (response.ok) throw new Error('expected an error');
    expect(response.val.kind).toEqual('history-gone');
  });

  it('does not return a revision older than the one the member has', async () => {
    const ahead = settle(feed.changesAfter(at(20), 1000), WAIT_MS + 5);
    expect((await ahead).unwrap().position).toEqual(at(20));
  });

  // Guards against members that wait for revisions which the table has given
  // out again for rows that they never get.
  describe('after the table returned from an older copy', () => {
    it('requests all rows although the revision is lower', async () => {
      const waiting = feed.changesAfter(at(10), 5000);
      await clock.tickAsync(100);
      relay.storePage(page(4, {a: '1', c: '3'}, 2), true);
      const response = await settle(waiting);
      if (response.ok) throw new Error('expected an error');
      expect(response.val.kind).toEqual('history-gone');
      const all = (await settle(feed.readAll(2))).unwrap();
      expect(all.position).toEqual(at(4, 2));
      expect(all.rows.map(({key}) => key)).toEqual(['a', 'c']);
      relay.storePage(page(5, {d: '4'}, 2), false);
      const next = await settle(feed.changesAfter(at(4, 2), 1000));
      expect(next.unwrap().rows.map(({key}) => key)).toEqual(['d']);
    });

    it('requests all rows when the revision was passed again', async () => {
      relay.storePage(page(30, {a: '1'}, 2), true);
      const response = await settle(feed.changesAfter(at(10), 1000));
      if (response.ok) throw new Error('expected an error');
      expect(response.val.kind).toEqual('history-gone');
    });

    it('reads the table while the leader has not noticed', async () => {
      const all = (await settle(feed.readAll(2))).unwrap();
      expect(all.rows[0]!.key).toEqual('direct');
      expect(directReads).toEqual(1);
    });
  });
});
