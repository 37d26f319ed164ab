/**
 * Guards against a request whose server has answered, or cannot answer any more,
 * while its caller waits until the deadline.
 */
import {expect} from 'earl';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, describe, it} from 'node:test';
import type {RequestBody} from '../lib/upstream-request.js';
import type {UpstreamOutcome} from '../lib/upstream-outcome.js';
import {answerTo} from '../testing/scripted-server.js';
import type {ReceivedRequest, Script} from '../testing/scripted-server.js';
import {SERVICE, ScriptedUpstream} from '../testing/scripted-upstream.js';

const DEADLINE_MS = 4000;
// Far below the deadline, with room for a busy machine.
const ENDS_WITHIN_MS = 1500;
const SHORT_DEADLINE_MS = 300;
// More than the buffers of two sockets take.
const LONG_BODY_BYTES = 32 * 1024 * 1024;
const PIECE_BYTES = 65_536;
const CLOSES_WITHIN_MS = 50;
const WARM_UP_ID = 'warm-up';

function head({requestId}: ReceivedRequest, framing: string): string {
  return (
    `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\n` +
    `Signature: good\r\n${framing}\r\n`
  );
}

const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const CHUNKS = '6\r\nanswer\r\n0\r\n\r\n';

async function writeByBytes(socket: Socket, bytes: string): Promise<void> {
  socket.setNoDelay(true);
  for (const byte of bytes) {
    socket.write(byte);
    await new Promise(resolve => setImmediate(resolve));
  }
}

/** Responses that are complete, whatever follows. */
const COMPLETE: Record<string, Script> = {
  'a length': request => void request.socket.write(answerTo(request)),
  'a length, in segments of one byte': request =>
    void writeByBytes(request.socket, answerTo(request)),
  'chunks, in segments of one byte': request =>
    void writeByBytes(request.socket, head(request, CHUNKED) + CHUNKS),
  'a length and bytes behind it': request =>
    void request.socket.write(answerTo(request) + 'more'),
  'a length and a second response': request =>
    void request.socket.write(answerTo(request) + answerTo(request)),
  'chunks and bytes behind them': request =>
    void request.socket.write(head(request, CHUNKED) + CHUNKS + 'more'),
  'a length and an end': request => void request.socket.end(answerTo(request)),
  'a length and a later reset': request => {
    request.socket.write(answerTo(request));
    setTimeout(() => request.socket.resetAndDestroy(), 5);
  },
  '"close" without a close': request =>
    void request.socket.write(
      answerTo(request, {headers: 'Signature: good\r\nConnection: close\r\n'}),
    ),
  'chunks and "close" without a close': request =>
    void request.socket.write(
      head(request, `Connection: close\r\n${CHUNKED}`) + CHUNKS,
    ),
  'a keep-alive time below the margin': request =>
    void request.socket.write(
      answerTo(request, {
        headers: 'Signature: good\r\nKeep-Alive: timeout=1\r\n',
      }),
    ),
  'interim responses before it': request =>
    void request.socket.write(
      'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early\r\n\r\n' +
        answerTo(request),
    ),
};

/** Responses that are never taken as complete. */
const HOPELESS: Record<string, Script> = {
  'an end without a response': ({socket}) => void socket.end(),
  'a reset without a response': ({socket}) => socket.resetAndDestroy(),
  'a response to another request': request =>
    void request.socket.write(answerTo(request, {id: 'other'})),
  'a change of protocol': ({socket}) =>
    void socket.write(
      'HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n' +
        'Connection: Upgrade\r\n\r\n',
    ),
  'an interim response that asks for the body': ({socket}) =>
    void socket.write('HTTP/1.1 100 Continue\r\n\r\n'),
  // Nothing may follow such a header.
  'an interim response with "close"': request =>
    void request.socket.write(
      `HTTP/1.1 103 Early\r\nConnection: close\r\n\r\n${answerTo(request)}`,
    ),
};

/** Responses of which only the end of the connection would be the end. */
const UNENDED: Record<string, Script> = {
  'no length': request =>
    void request.socket.write(`${head(request, '')}answer`),
  'no length and "close"': request =>
    void request.socket.write(
      `${head(request, 'Connection: close\r\n')}answer`,
    ),
  'chunks without the last': request =>
    void request.socket.write(`${head(request, CHUNKED)}6\r\nanswer\r\n`),
};

/** A body whose source yields pieces up to a number of bytes. */
function streamOf(bytes: number, endsThere: boolean): RequestBody {
  let left = bytes;
  const stream = new Readable({
    read() {
      if (left > 0) this.push(Buffer.alloc(Math.min(PIECE_BYTES, left), 'a'));
      else if (endsThere) this.push(null);
      left -= PIECE_BYTES;
    },
  });
  return {kind: 'stream', stream};
}

const NO_BODY: RequestBody = {kind: 'none'};

/** Bodies that are still being sent when the server responds. */
const UNSENT_BODIES: Record<string, () => RequestBody> = {
  'is not read': () => streamOf(LONG_BODY_BYTES, true),
  'does not end': () => streamOf(PIECE_BYTES, false),
};

describe('end of an attempt', () => {
  let scripted: ScriptedUpstream;

  afterEach(() => scripted.stop());

  async function start(script: Script, readsBodies = true): Promise<void> {
    const answered = new Set<string>();
    scripted = await ScriptedUpstream.start([
      request => {
        if (request.requestId === WARM_UP_ID) {
          request.socket.write(answerTo(request));
        } else if (!answered.has(request.requestId)) {
          answered.add(request.requestId);
          if (!readsBodies) request.socket.pause();
          script(request);
        }
      },
    ]);
  }

  function send(
    requestId: string,
    body = NO_BODY,
    deadlineMs = DEADLINE_MS,
  ): Promise<UpstreamOutcome> {
    return scripted.upstream.run({
      route: 'reads',
      service: SERVICE,
      request: {
        requestId,
        method: 'POST',
        target: '/',
        headers: ['Host', 'shop.example', 'Request-Id', requestId],
        body,
      },
      team: 'north',
      rank: 1,
      isIdempotent: false,
      maxAttempts: 1,
      targetLatencyMs: 10_000,
      deadlineAtMs: performance.now() + deadlineMs,
      abandoned: new AbortController().signal,
    });
  }

  async function expectEnd(
    kind: UpstreamOutcome['kind'],
    body?: RequestBody,
  ): Promise<void> {
    const startedAtMs = performance.now();
    const outcome = await send('r1', body);
    expect(outcome.kind).toEqual(kind);
    expect(performance.now() - startedAtMs).toBeLessThan(ENDS_WITHIN_MS);
  }

  for (const isReused of [false, true]) {
    const where = isReused ? 'reused' : 'first';

    for (const [name, script] of Object.entries(COMPLETE)) {
      // Guards against a complete response that is not passed on.
      it(`comes with a complete response: ${name}, ${where} connection`, async () => {
        await start(script);
        if (isReused) await send(WARM_UP_ID);
        await expectEnd('answered');
        // The connection is usable or replaced.
        await delay(CLOSES_WITHIN_MS);
        expect((await send(WARM_UP_ID)).kind).toEqual('answered');
      });
    }

    for (const [name, script] of Object.entries(HOPELESS)) {
      // Guards against a wait for a response that cannot come any more.
      it(`comes with ${name}, ${where} connection`, async () => {
        await start(script);
        if (isReused) await send(WARM_UP_ID);
        await expectEnd('unknown');
      });
    }

    for (const [name, script] of Object.entries(UNENDED)) {
      // Guards against a wait beyond the deadline for an end that never comes.
      it(`comes with the deadline: ${name}, ${where} connection`, async () => {
        await start(script);
        if (isReused) await send(WARM_UP_ID);
        const startedAtMs = performance.now();
        const outcome = await send('r1', NO_BODY, SHORT_DEADLINE_MS);
        expect(outcome.kind).toEqual('deadline');
        const tookMs = performance.now() - startedAtMs;
        expect(tookMs).toBeLessThan(SHORT_DEADLINE_MS + ENDS_WITHIN_MS);
        await delay(CLOSES_WITHIN_MS);
        expect(scripted.servers[0]!.connections).toEqual(0);
      });
    }

    for (const [bodyName, createBody] of Object.entries(UNSENT_BODIES)) {
      for (const [name, script] of Object.entries(COMPLETE)) {
        // Guards against a response that waits for the rest of its request.
        it(`comes with a response before the body, which ${bodyName}: ${name}, ${where} connection`, async () => {
          await start(script, false);
          if (isReused) await send(WARM_UP_ID);
          await expectEnd('answered', createBody());
        });
      }
    }
  }

  // Guards against a wait for the rest of a body whose caller has left.
  it('comes with the end of a source that breaks off', async () => {
    await start(() => {});
    const body = streamOf(PIECE_BYTES, false);
    if (body.kind === 'stream') {
      setTimeout(() => body.stream.destroy(new Error('left')), 20);
    }
    await expectEnd('unknown', body);
  });

  // Guards against a request that is sent without the body that was lost.
  it('comes at once if the source has broken off before', async () => {
    await start(request => void request.socket.write(answerTo(request)));
    const body = streamOf(PIECE_BYTES, false);
    if (body.kind === 'stream') {
      body.stream.on('error', () => {});
      body.stream.destroy(new Error('left'));
    }
    const startedAtMs = performance.now();
    const outcome = await send('r1', body);
    expect(outcome.kind === 'answered').toEqual(false);
    expect(performance.now() - startedAtMs).toBeLessThan(ENDS_WITHIN_MS);
  });

  // Guards against a request that waits on a connection which closed in the
  // moment between its choice and the writing of the request.
  it('comes at once if the server is gone when a connection is used again', async () => {
    await start(request => void request.socket.write(answerTo(request)));
    await send(WARM_UP_ID);
    const startedAtMs = performance.now();
    const ended = send('r1');
    scripted.servers[0]!.stop();
    expect((await ended).kind === 'answered').toEqual(false);
    expect(performance.now() - startedAtMs).toBeLessThan(ENDS_WITHIN_MS);
  });
});
