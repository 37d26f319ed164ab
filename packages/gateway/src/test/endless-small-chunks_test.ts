/**
 * Guards against a body of small chunks without end that fills the memory of the
 * instance, or gets no true response.
 */
import {afterEach, beforeEach, describe, it} from 'node:test';
import {EndlessCaller, head} from '../testing/endless-caller.js';

describe('endless body in small chunks', () => {
  let caller: EndlessCaller;
  beforeEach(async () => {
    caller = await EndlessCaller.start();
  });
  afterEach(() => caller.stop());

  it('gets a true response and a closed connection', () =>
    caller.check({
      start: head('/reads/1', 'Transfer-Encoding: chunked\r\n'),
      piece: '8\r\nabcdefgh\r\n',
      statuses: [408, 413, 502, 504],
    }));
});
