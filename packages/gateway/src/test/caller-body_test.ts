/** Guards against callers that get no response because their body never ends. */
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

describe('caller body', () => {
  it('is abandoned when it is incomplete at the deadline', async () => {
    const request = fakeRequest({'content-length': '10'});
    request.write('half');
    const read = await readRequestBody(
      request,
      MAX_BYTES,
      performance.now() + WAIT_MS,
    );
    expect(read).toEqual({kind: 'too-slow'});
  });

  it('is buffered completely when it arrives in time', async () => {
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
      body: {kind: 'buffered', bytes: Buffer.from('onetwo')},
    });
  });
});
