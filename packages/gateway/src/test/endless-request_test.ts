/**
 * Guards against callers that send bytes without end: such a request must not
 * fill the memory or keep its connection open, and gets a true response.
 */
import {expect} from 'earl';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {EndlessCaller, head} from '../testing/endless-caller.js';
import type {EndlessRequest} from '../testing/endless-caller.js';

const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const LARGE_CHUNK = `4000\r\n${'a'.repeat(0x4000)}\r\n`;

const REQUESTS: Record<string, EndlessRequest> = {
  'request line': {start: 'GET /', piece: 'a', statuses: [431]},
  'header value': {
    start: 'GET / HTTP/1.1\r\nName: ',
    piece: 'a',
    statuses: [431],
  },
  'series of headers': {
    start: 'GET / HTTP/1.1\r\n',
    piece: 'Name: value\r\n',
    statuses: [431],
  },
  'chunked body': {
    start: head('/reads/1', CHUNKED),
    piece: LARGE_CHUNK,
    statuses: [413, 502],
  },
  'body after a rejection': {
    start: head('/unknown/', CHUNKED),
    piece: LARGE_CHUNK,
    statuses: [404],
  },
  'chunk size': {
    start: head('/reads/1', CHUNKED),
    piece: '0',
    statuses: [408],
  },
  'chunk extension': {
    start: `${head('/reads/1', CHUNKED)}4;name=`,
    piece: 'a',
    statuses: [413, 400],
  },
  'trailer value': {
    start: `${head('/reads/1', CHUNKED)}0\r\nName: `,
    piece: 'a',
    statuses: [431],
  },
};

describe('endless request', () => {
  let caller: EndlessCaller;
  beforeEach(async () => {
    caller = await EndlessCaller.start();
  });
  afterEach(() => caller.stop());

  for (const [name, request] of Object.entries(REQUESTS)) {
    it(`gets a true response and a closed connection: ${name}`, () =>
      caller.check(request));
  }

  // The caller would take an answer to the malformed bytes for the response to its
  // first request, and a lost response may hide that a request has run.
  it('answers a request that endless bytes follow', async () => {
    const text = await caller.sendWithoutEnd({
      start: head('/reads/slow', 'Content-Length: 0\r\n'),
      piece: '\0',
      statuses: [],
    });
    expect(text.match(/HTTP\/1\.1 \d+/g)).toEqual(['HTTP/1.1 200']);
    await delay(50);
    expect((await caller.readState()).connections).toEqual(0);
  });

  // A chunked body has no length that could be compared with the limit.
  it('rejects a chunked body that is over the limit of the policy', async () => {
    const text = await caller.sendWithoutEnd(REQUESTS['chunked body']!);
    expect(/"(body-too-large|outcome-unknown)"/.test(text)).toEqual(true);
  });

  // An unread rest would block the next request, and a connection that is closed
  // with unread bytes is reset, so that the response may be lost.
  it('serves the next request after it refused one with a large body', async () => {
    const body = LARGE_CHUNK.repeat(200) + '0\r\n\r\n';
    const text = await caller.sendText(
      `${head('/reads/refused', CHUNKED)}${body}` +
        head('/reads/1', 'Content-Length: 0\r\n'),
    );
    expect(text.match(/HTTP\/1\.1 \d+/g)).toEqual([
      'HTTP/1.1 503',
      'HTTP/1.1 200',
    ]);
  });
});
