/** Guards against requests to removed servers, and against lost servers. */
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {createLogger} from '@fireflytrack/telemetry';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {DiscoveredServer} from '../lib/backend-server.js';
import type {FeedRow} from '../lib/change-feed.js';
import {ServerCatalog} from '../lib/server-catalog.js';

const LAPSE_GRACE_MS = 2500;
const OUTAGE_MS = 4000;

function server(change: Partial<DiscoveredServer> = {}): DiscoveredServer {
  return {
    serverId: 's1',
    startedAtMs: 1,
    host: '10.0.0.1',
    port: 80,
    service: 'counting',
    availabilityZone: 'nord-a',
    softwareVersion: 'v1',
    slots: 4,
    state: 'ready',
    warmupLeftMs: 0,
    reportNumber: 5,
    ...change,
  };
}

describe('server catalog', () => {
  let clock: Clock;
  let catalog: ServerCatalog;
  let joined: number;

  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    clock.tick(10_000);
    joined = 0;
    const logger = createLogger({level: 'error', silent: true});
    catalog = ServerCatalog.create(
      {lapseGraceMs: LAPSE_GRACE_MS, logger},
      {onJoined: () => (joined += 1), onLeft: () => {}},
    );
    applyServers([server()], true);
  });
  afterEach(() => clock.uninstall());

  function applyServers(servers: DiscoveredServer[], complete = false): void {
    const rows = servers.map(item => ({key: item.serverId, item}));
    applyPage(rows, complete);
  }

  function applyPage(
    rows: FeedRow<DiscoveredServer>[],
    complete = false,
  ): void {
    const position = {era: 1, revision: 1};
    catalog.apply({rows, position, confirmedOffsetMs: 0}, complete);
  }

  const removal = {key: 's1', item: undefined};
  const serverCount = () => catalog.serversForService('counting').length;

  it('removes a draining or deleted server at once', () => {
    applyServers([server({state: 'draining'})]);
    expect(serverCount()).toEqual(0);
    applyServers([server()]);
    applyPage([removal]);
    expect(serverCount()).toEqual(0);
  });

  it('treats a restart under the same id as a new server', () => {
    applyServers([server({startedAtMs: 2})]);
    expect(serverCount()).toEqual(1);
    expect(joined).toEqual(2);
  });

  it('keeps entries that expired in an outage until they had time to return', () => {
    catalog.onStoreUnavailable();
    clock.tick(OUTAGE_MS);
    catalog.onStoreRecovered();
    applyPage([], true);
    clock.tick(LAPSE_GRACE_MS - 1);
    expect(serverCount()).toEqual(1);
    clock.tick(1);
    expect(serverCount()).toEqual(0);
  });

  // Guards against requests to servers that have left, from an instance that was
  // cut off and whose server feed needs longer than others to reach the store.
  it('counts the time for a return from when any feed reached the store', () => {
    catalog.onStoreReached();
    catalog.onStoreUnavailable();
    clock.tick(OUTAGE_MS);
    catalog.onStoreReached();
    clock.tick(LAPSE_GRACE_MS - 100);
    catalog.onStoreReached();
    catalog.onStoreRecovered();
    applyPage([], true);
    clock.tick(99);
    expect(serverCount()).toEqual(1);
    clock.tick(1);
    expect(serverCount()).toEqual(0);
  });

  it('counts it anew after another outage', () => {
    catalog.onStoreUnavailable();
    clock.tick(OUTAGE_MS);
    catalog.onStoreReached();
    clock.tick(LAPSE_GRACE_MS);
    catalog.onStoreRecovered();
    catalog.onStoreUnavailable();
    clock.tick(OUTAGE_MS);
    catalog.onStoreRecovered();
    applyPage([], true);
    clock.tick(LAPSE_GRACE_MS - 1);
    expect(serverCount()).toEqual(1);
  });

  it('keeps an entry that returned within the grace period', () => {
    catalog.onStoreUnavailable();
    clock.tick(OUTAGE_MS);
    catalog.onStoreRecovered();
    applyPage([removal]);
    applyServers([server()]);
    clock.tick(LAPSE_GRACE_MS);
    expect(serverCount()).toEqual(1);
  });

  it('removes a server that drains during the grace period at once', () => {
    catalog.onStoreUnavailable();
    clock.tick(OUTAGE_MS);
    catalog.onStoreRecovered();
    applyServers([server({state: 'draining'})]);
    expect(serverCount()).toEqual(0);
  });

  it('does not defer removals after a single failed call', () => {
    catalog.onStoreUnavailable();
    clock.tick(200);
    catalog.onStoreRecovered();
    applyPage([removal]);
    expect(serverCount()).toEqual(0);
  });

  it('ignores the entry of an earlier run under the same id', () => {
    applyServers([server({startedAtMs: 2, port: 81})]);
    applyServers([server({startedAtMs: 1})]);
    expect(catalog.serversForService('counting')[0]!.report.port).toEqual(81);
  });

  // Guards against requests to servers that have left but are listed again, and
  // against servers that are lost because the copy does not list them yet.
  describe('when the store returned from an older copy', () => {
    const UNTIL_LAPSE_MS = 6000;

    it('does not use a server again that has left', () => {
      applyPage([removal]);
      catalog.onStoreRestored();
      applyServers([server()], true);
      expect(serverCount()).toEqual(0);
    });

    it('does not use a draining server again, even if it stays listed', () => {
      applyServers([server({state: 'draining'})]);
      catalog.onStoreRestored();
      applyServers([server({reportNumber: 9})], true);
      clock.tick(UNTIL_LAPSE_MS);
      expect(serverCount()).toEqual(0);
    });

    it('uses a server again that reports anew', () => {
      applyPage([removal]);
      catalog.onStoreRestored();
      applyServers([server()], true);
      applyServers([server({reportNumber: 6})]);
      expect(serverCount()).toEqual(1);
    });

    it('uses a server again whose entry does not lapse', () => {
      applyPage([removal]);
      catalog.onStoreRestored();
      applyServers([server()], true);
      clock.tick(UNTIL_LAPSE_MS);
      expect(serverCount()).toEqual(1);
    });

    it('does not use a server whose entry lapses', () => {
      applyPage([removal]);
      catalog.onStoreRestored();
      applyServers([server()], true);
      applyPage([removal]);
      clock.tick(UNTIL_LAPSE_MS);
      expect(serverCount()).toEqual(0);
    });

    it('uses a server that restarted under the id of one that left', () => {
      applyPage([removal]);
      catalog.onStoreRestored();
      applyServers([server({startedAtMs: 2, reportNumber: 1})], true);
      expect(serverCount()).toEqual(1);
    });

    it('keeps a server that the copy lacks until it had time to return', () => {
      catalog.onStoreRestored();
      applyPage([], true);
      clock.tick(LAPSE_GRACE_MS - 1);
      expect(serverCount()).toEqual(1);
      clock.tick(1);
      expect(serverCount()).toEqual(0);
    });
  });
});
