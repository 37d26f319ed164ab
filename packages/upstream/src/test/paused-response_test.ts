/**
 * Guards against a connection that ends while its response waits for a slow
 * caller: this must neither end the process nor make a part look complete.
 */
import {expect} from 'earl';
import type {Socket} from 'node:net';
import type {Readable} from 'node:stream';
import {finished} from 'node:stream/promises';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, describe, it} from 'node:test';
import {SERVICE, ScriptedUpstream} from '../testing/scripted-upstream.js';

const DEADLINE_MS = 2000;
// Below it a response is not streamed.
const MAX_BUFFERED_BYTES = 262_144;
// The first is read to its end before the response waits; of the others some is
// left in the socket.
const SIZES_BYTES = [MAX_BUFFERED_BYTES + 1, 300_000, 500_000, 1_000_000];
// The response waits for the caller by then.
const ENDS_AFTER_MS = 50;
const CALLER_READS_AFTER_MS = 150;

interface Framing {
  headers: (bytes: number) => string;
  body: (bytes: number) => string;
  /** Whether the response is complete when the connection ends in order. */
  isWhole: boolean;
}

const FRAMINGS: Record<string, Framing> = {
  'no length': {
    headers: () => '',
    body: bytes => 'a'.repeat(bytes),
    isWhole: true,
  },
  'no length and "close"': {
    headers: () => 'Connection: close\r\n',
    body: bytes => 'a'.repeat(bytes),
    isWhole: true,
  },
  'a length and "close"': {
    headers: bytes => `Connection: close\r\nContent-Length: ${bytes + 1}\r\n`,
    body: bytes => 'a'.repeat(bytes),
    isWhole: false,
  },
  'a length': {
    headers: bytes => `Content-Length: ${bytes + 1}\r\n`,
    body: bytes => 'a'.repeat(bytes),
    isWhole: false,
  },
  'chunks and "close"': {
    headers: () => 'Connection: close\r\nTransfer-Encoding: chunked\r\n',
    body: bytes => `${bytes.toString(16)}\r\n${'a'.repeat(bytes)}\r\n`,
    isWhole: false,
  },
  chunks: {
    headers: () => 'Transfer-Encoding: chunked\r\n',
    body: bytes => `${bytes.toString(16)}\r\n${'a'.repeat(bytes)}\r\n`,
    isWhole: false,
  },
};

const ENDS: Record<string, (socket: Socket) => void> = {
  end: socket => void socket.end(),
  reset: socket => void socket.resetAndDestroy(),
};

describe('response that waits for its caller', () => {
  let scripted: ScriptedUpstream;

  afterEach(() => scripted.stop());

  async function startResponse(
    framing: Framing,
    bytes: number,
    end: (socket: Socket) => void,
  ): Promise<Readable> {
    scripted = await ScriptedUpstream.start([
      ({requestId, socket}) => {
        const head =
          `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\n` +
          `Signature: good\r\n${framing.headers(bytes)}\r\n`;
        socket.write(head + framing.body(bytes));
        setTimeout(() => end(socket), ENDS_AFTER_MS);
      },
    ]);
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
    if (outcome.kind !== 'answered') throw new Error(outcome.kind);
    const {response} = outcome;
    if (response.kind !== 'streamed') throw new Error(response.kind);
    return response.body;
  }

  for (const [framingName, framing] of Object.entries(FRAMINGS)) {
    for (const [endName, end] of Object.entries(ENDS)) {
      for (const bytes of SIZES_BYTES) {
        // Guards against an assertion of the HTTP client, which nothing catches.
        it(`stays true with ${framingName}, ${endName}, ${bytes} bytes`, async () => {
          const body = await startResponse(framing, bytes, end);
          await delay(CALLER_READS_AFTER_MS);
          let readBytes = 0;
          body.on('data', (chunk: Buffer) => (readBytes += chunk.length));
          const isWhole = await finished(body).then(
            () => true,
            () => false,
          );
          expect(isWhole).toEqual(framing.isWhole && endName === 'end');
          if (isWhole) expect(readBytes).toEqual(bytes);
        });
      }
    }
  }
});
