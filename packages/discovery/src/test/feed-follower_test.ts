/** Guards against a page, or a feed, whose exception ends the process. */
import {Ok} from '@fireflytrack/result';
import {createLogger} from '@fireflytrack/telemetry';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {FeedPage, FeedPosition} from '../lib/change-feed.js';
import {FeedFollower} from '../lib/feed-follower.js';

describe('feed follower', () => {
  let clock: Clock;
  let lines: string[];
  const rejections: unknown[] = [];
  const onRejection = (reason: unknown) => rejections.push(reason);
  const logger = createLogger({level: 'info', silent: true});
  const record = ((message: string) => {
    lines.push(message);
    return logger;
  }) as typeof logger.warn;
  Object.assign(logger, {warn: record, error: record, info: record});

  beforeEach(() => {
    clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    lines = [];
    process.on('unhandledRejection', onRejection);
  });
  afterEach(() => {
    clock.uninstall();
    process.off('unhandledRejection', onRejection);
  });

  function page(revision: number): FeedPage<string> {
    const rows = [{key: 'a', item: String(revision)}];
    return {rows, position: {era: 1, revision}, confirmedOffsetMs: 0};
  }

  async function follow(
    read: (position: FeedPosition | undefined) => FeedPage<string>,
    onPage: (page: FeedPage<string>) => void,
  ): Promise<void> {
    const follower = FeedFollower.create<string>({
      name: 'f',
      feed: {
        readAll: async () => Ok(read(undefined)),
        changesAfter: async position => Ok(read(position)),
        close: async () => {},
      },
      listener: {onPage},
      waitMs: 10,
      pauseMs: 100,
      logger,
    });
    follower.start();
    await clock.tickAsync(2000);
    await follower.stop();
    await clock.tickAsync(1000);
    expect(rejections).toEqual([]);
  }

  // Guards against a follower that ends when one page cannot be applied.
  it('goes on after a page that its listener does not stand', async () => {
    const applied: number[] = [];
    await follow(
      position => page((position?.revision ?? 0) + 1),
      ({position: {revision}}) => {
        if (revision === 2) throw new Error('odd page');
        applied.push(revision);
      },
    );
    expect(applied.slice(0, 3)).toEqual([1, 3, 4]);
    expect(lines).toEqual(['feed page not applied']);
  });

  // Guards against a follower that ends when its feed throws.
  it('takes an exception of the feed for an outage', async () => {
    let calls = 0;
    const applied: number[] = [];
    await follow(
      position => {
        calls += 1;
        if (calls === 2) throw new Error('odd response');
        return page((position?.revision ?? 0) + 1);
      },
      ({position: {revision}}) => applied.push(revision),
    );
    expect(applied.slice(0, 3)).toEqual([1, 2, 3]);
    expect(lines).toEqual(['dependency lost', 'dependency regained']);
  });
});
