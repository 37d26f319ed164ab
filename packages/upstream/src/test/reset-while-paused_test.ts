/**
 * Guards against a process that ends by an exception when a server resets its
 * connection while a slow caller delays the response.
 */
import {expect} from 'earl';
import {finished} from 'node:stream/promises';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, describe, it} from 'node:test';
import type {Script} from '../testing/scripted-server.js';
import {SERVICE, ScriptedUpstream} from '../testing/scripted-upstream.js';

const PIECE = Buffer.alloc(16_384, 'a');
// From the size at which a response is streamed to well over what is read ahead
// of its reader.
const FIRST_PIECES = 17;
const LAST_PIECES = 40;
const DEADLINE_MS = 5000;
// Time for the server's bytes, or its reset, to be read.
const SETTLE_MS = 15;

const FRAMINGS: Record<string, string> = {
  'without a length': '',
  'with Connection: close': 'Content-Length: 9000000\r\nConnection: close\r\n',
  'in chunks with Connection: close':
    'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\nffffff',
  'on a kept connection': 'Content-Length: 9000000\r\n',
};

describe('a reset by the server while the reader of a response is slow', () => {
  let scripted: ScriptedUpstream | undefined;

  afterEach(() => scripted?.stop());

  for (const [name, framing] of Object.entries(FRAMINGS)) {
    // Guards against an assertion of the HTTP client, which is thrown in an
    // event of the socket, where no caller catches it.
    it(`fails only the response: ${name}`, async () => {
      for (let pieces = FIRST_PIECES; pieces <= LAST_PIECES; pieces += 1) {
        scripted = await ScriptedUpstream.start([
          createScript(framing, pieces),
        ]);
        await expectFailedBody(scripted);
        scripted.stop();
      }
    });
  }
});

/** Sends `pieces` pieces of the body, then resets the connection. */
function createScript(framing: string, pieces: number): Script {
  return async ({socket, requestId}) => {
    socket.write(
      `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\n` +
        `Signature: good\r\n${framing}\r\n`,
    );
    for (let sent = 0; sent < pieces; sent += 1) {
      await new Promise(resolve => socket.write(PIECE, resolve));
      await delay(1);
    }
    await delay(SETTLE_MS);
    socket.resetAndDestroy();
  };
}

async function expectFailedBody(scripted: ScriptedUpstream): Promise<void> {
  const outcome = await scripted.upstream.run({
    route: 'reads',
    service: SERVICE,
    request: {
      requestId: 'r1',
      method: 'GET',
      target: '/',
      headers: ['Host', 'shop.example', 'Request-Id', 'r1'],
      body: {kind: 'none'},
    },
    team: 'north',
    rank: 1,
    isIdempotent: false,
    maxAttempts: 1,
    targetLatencyMs: 10_000,
    deadlineAtMs: performance.now() + DEADLINE_MS,
    abandoned: new AbortController().signal,
  });
  expect(outcome.kind).toEqual('answered');
  if (outcome.kind !== 'answered') return;
  const {response} = outcome;
  expect(response.kind).toEqual('streamed');
  if (response.kind !== 'streamed') return;
  const {body} = response;
  // Long enough for the reset to arrive while nothing is read.
  await delay(LAST_PIECES * 3 + SETTLE_MS);
  body.resume();
  const ended = await finished(body).then(
    () => 'whole',
    () => 'failed',
  );
  expect(ended).toEqual('failed');
}
