/** Guards against odd pages of a leader, and odd requests of a member. */
import type {ChangeFeed, FeedPage} from '@fireflytrack/discovery';
import {Ok} from '@fireflytrack/result';
import {createLogger} from '@fireflytrack/telemetry';
import {MemoryNetwork} from '@fireflytrack/wire';
import type {PeerNetwork} from '@fireflytrack/wire';
import {expect} from 'earl';
import {beforeEach, describe, it} from 'node:test';
import {z} from 'zod';
import {FeedRelay} from '../lib/feed-relay.js';
import {RelayedFeed} from '../lib/relayed-feed.js';
import type {ZoneElection} from '../lib/zone-election.js';

const KIND = FeedRelay.requestKind('f');
const GOOD = {kind: 'page', rows: [], era: 1, revision: 5, ageMs: 3};

describe('relay of a feed', () => {
  let leader: PeerNetwork;
  let member: PeerNetwork;
  let feed: RelayedFeed<string>;
  let lines: string[];
  const election = {
    isLeader: true,
    feedSource: {instanceId: 'leader'},
    connect: async () => true,
  } as unknown as ZoneElection;

  beforeEach(() => {
    const network = MemoryNetwork.create();
    const identity = (instanceId: string) => ({
      instanceId,
      availabilityZone: 'z',
      region: 'r',
    });
    leader = network.join(identity('leader'));
    member = network.join(identity('member'));
    const direct: FeedPage<string> = {
      rows: [],
      position: {era: 1, revision: 50},
      confirmedOffsetMs: 0,
    };
    const directFeed: ChangeFeed<string> = {
      readAll: async () => Ok(direct),
      changesAfter: async () => Ok(direct),
      close: async () => {},
    };
    lines = [];
    const logger = createLogger({level: 'info', silent: true});
    logger.warn = ((message: string) => {
      lines.push(message);
      return logger;
    }) as typeof logger.warn;
    feed = RelayedFeed.create<string>({
      name: 'f',
      direct: directFeed,
      itemSchema: z.string().max(10),
      timing: {waitMs: 10, drawLimitMs: () => 100},
      ageMs: () => 0,
      logger,
    });
    feed.useRelay({network: member, election});
  });

  const oddPages: Record<string, object> = {
    // Keys would be accepted without end.
    'an age of -1e308 ms': {ageMs: -1e308},
    'an age of minus a minute': {ageMs: -60_000},
    'an age that is no number': {ageMs: NaN},
    'an infinite age': {ageMs: Infinity},
    'an age of 1e308 ms': {ageMs: 1e308},
    // No era of the store would be accepted any more.
    'an era past every integer': {era: 1e308},
    'an infinite era': {era: Infinity},
    'an era with a fraction': {era: 1.5},
    'a negative era': {era: -1},
    'a revision past every integer': {revision: 1e308},
    'a revision with a fraction': {revision: 1.5},
    'a revision that is no number': {revision: NaN},
    'rows that are no list': {rows: {}},
  };
  for (const [oddity, change] of Object.entries(oddPages)) {
    // Guards against a member that takes over a position or age without bounds.
    it(`reads the table for a page with ${oddity}`, async () => {
      leader.onRequest(KIND, () => ({...GOOD, ...change}));
      const page = (await feed.readAll(0)).unwrap();
      expect(page.position.revision).toEqual(50);
      expect(page.confirmedOffsetMs).toEqual(0);
      expect(lines).toEqual(['relayed page not taken']);
    });
  }

  const oddRows: Record<string, unknown> = {
    'no key': {item: 'x'},
    'a key that is a number': {key: 3, item: 'x'},
    'null in its place': null,
    'a list in its place': [],
    'an item of another type': {key: 'b', item: 4},
    'an item that is too long': {key: 'b', item: 'x'.repeat(1000)},
  };
  for (const [oddity, row] of Object.entries(oddRows)) {
    // Guards against one row that keeps a member from the others.
    it(`passes on the other rows of a page with ${oddity}`, async () => {
      const rows = [{key: 'a', item: '1'}, row, {key: 'c', item: '3'}];
      leader.onRequest(KIND, () => ({...GOOD, rows}));
      for (let reads = 0; reads < 2; reads += 1) {
        const page = (await feed.readAll(0)).unwrap();
        const taken = page.rows.filter(({item}) => item !== undefined);
        expect(taken.map(({key}) => key)).toEqual(['a', 'c']);
      }
      expect(lines).toEqual(['relayed row not taken']);
    });
  }

  const oddRequests: Record<string, object> = {
    'a wait of 1e308 ms': {waitMs: 1e308},
    'an infinite wait': {waitMs: Infinity},
    'a negative wait': {waitMs: -1},
    'a position past every integer': {waitMs: 0, after: 1e308, era: 1},
    'an era that is no number': {waitMs: 0, after: 1, era: NaN},
  };
  for (const [oddity, request] of Object.entries(oddRequests)) {
    // Guards against a leader that keeps or answers such a request.
    it(`refuses a request with ${oddity}`, async () => {
      const options = {name: 'f', maxAgeMs: 1000};
      const relay = FeedRelay.create<string>(options, () => 1);
      relay.serve(leader, election);
      const position = {era: 1, revision: 5};
      relay.storePage({rows: [], position, confirmedOffsetMs: 0}, true);
      const response = await member.request('leader', KIND, request, 100);
      expect(response.err && response.val.kind).toEqual('rejected');
    });
  }
});
