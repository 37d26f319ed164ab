/**
 * Guards against an exception while a request is handled that ends the caller's
 * connection without an answer.
 */
import {expect} from 'earl';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {EndlessCaller, head} from '../testing/endless-caller.js';

describe('internal fault', () => {
  let caller: EndlessCaller;
  beforeEach(async () => {
    caller = await EndlessCaller.start();
  });
  afterEach(() => caller.stop());

  // The request may have run, so that the answer must not promise anything.
  it('is answered with 502 and does not end earlier requests', async () => {
    const length = 'Content-Length: 0\r\n';
    const text = await caller.sendText(
      head('/reads/slow', length) + head('/reads/broken', length),
    );
    const statuses = [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, s]) => s);
    expect(statuses).toEqual(['200', '502']);
  });
});
