/** Guards against callers whose body never ends and who get no answer. */
import {expect} from 'earl';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {describe, it} from 'node:test';
import {readRequestBody} from '../lib/caller-body.js';

const MAX_BYTES = 1000;
const WAIT_MS = 30;

function fakeRequest(
  headers: Record<string, string>,
): PassThrough & IncomingMessage {
  return Object.assign(new PassThrough(), {headers}) as unknown as PassThrough &
    IncomingMessage;
}

describe('body of a caller', () => {
  it('is given up when it is not whole by the deadline', async () => {
    const request = fakeRequest({'content-length': '10'});
    request.write('half');
    const read = await readRequestBody(
      request,
      MAX_BYTES,
      performance.now() + WAIT_MS,
    );
    expect(read).toEqual({kind: 'too-slow'});
  });

  it('is held whole when it comes in time', async () => {
    const request = fakeRequest({'transfer-encoding': 'chunked'});
    request.write('one');
    setImmediate(() => request.end('two'));
    const read = await readRequestBody(
      request,
      MAX_BYTES,
      performance.now() + 2000,
    );
    expect(read).toEqual({
      kind: 'read',
      body: {kind: 'held', bytes: Buffer.from('onetwo')},
    });
  });
});
