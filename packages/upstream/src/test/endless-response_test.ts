/**
 * Guards against servers that send bytes without end: such a response must not
 * fill the memory, keep a connection open or look complete to the caller.
 */
import {expect} from 'earl';
import type {Socket} from 'node:net';
import {finished} from 'node:stream/promises';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, describe, it} from 'node:test';
import type {Upstream} from '../lib/upstream.js';
import type {UpstreamOutcome} from '../lib/upstream-outcome.js';
import {MemoryGrowth} from '../testing/memory-growth.js';
import {answerTo} from '../testing/scripted-server.js';
import type {ScriptedServer} from '../testing/scripted-server.js';
import type {Script} from '../testing/scripted-server.js';
import {SERVICE, ScriptedUpstream} from '../testing/scripted-upstream.js';

const DEADLINE_MS = 1000;
// Time for closing connections and for the event loop after the deadline.
const CLOSE_WITHIN_MS = 500;
const MAX_MEMORY_GROWTH_BYTES = 48 * 1024 * 1024;
const MAX_LIVE_GROWTH_BYTES = 8 * 1024 * 1024;
const PIECE_BYTES = 65_536;

/** Writes `piece` as fast as the reader takes it, until the socket closes. */
function writeWithoutEnd(socket: Socket, start: string, piece: string): void {
  const bytes = Buffer.from(
    piece.repeat(Math.ceil(PIECE_BYTES / piece.length)),
  );
  const more = () => {
    // Yields after each piece, because the reader runs in the same process.
    if (socket.write(bytes)) setImmediate(more);
    else socket.once('drain', () => setImmediate(more));
  };
  socket.write(start);
  more();
}

function head(requestId: string, framing = ''): string {
  return (
    `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\n` +
    `Signature: good\r\n${framing}\r\n`
  );
}

const CHUNKED = 'Transfer-Encoding: chunked\r\n';

/** Responses whose first body byte never comes, or whose end never comes. */
const ENDLESS_FRAMING: Record<string, Script> = {
  'reason phrase': ({socket}) => writeWithoutEnd(socket, 'HTTP/1.1 200 ', 'a'),
  'header value': ({socket}) =>
    writeWithoutEnd(socket, 'HTTP/1.1 200 OK\r\nName: ', 'a'),
  'series of headers': ({socket}) =>
    writeWithoutEnd(socket, 'HTTP/1.1 200 OK\r\n', 'Name: value\r\n'),
  'series of informational responses': ({socket}) =>
    writeWithoutEnd(socket, '', 'HTTP/1.1 102 Processing\r\n\r\n'),
  'chunk extension': ({socket, requestId}) =>
    writeWithoutEnd(socket, `${head(requestId, CHUNKED)}4;name=`, 'a'),
  'chunk size': ({socket, requestId}) =>
    writeWithoutEnd(socket, head(requestId, CHUNKED), '0'),
  'trailer value': ({socket, requestId}) =>
    writeWithoutEnd(socket, `${head(requestId, CHUNKED)}0\r\nName: `, 'a'),
  'series of trailers': ({socket, requestId}) =>
    writeWithoutEnd(
      socket,
      `${head(requestId, CHUNKED)}0\r\n`,
      'Name: value\r\n',
    ),
};

const ENDLESS_BODY: Record<string, Script> = {
  'body without a length': ({socket, requestId}) =>
    writeWithoutEnd(socket, head(requestId), 'a'),
  'chunked body': ({socket, requestId}) =>
    writeWithoutEnd(socket, head(requestId, CHUNKED), '8\r\nabcdefgh\r\n'),
  'body in chunks of one byte': ({socket, requestId}) =>
    writeWithoutEnd(socket, head(requestId, CHUNKED), '1\r\na\r\n'),
};

describe('endless response', () => {
  let scripted: ScriptedUpstream;
  let servers: ScriptedServer[];
  let upstream: Upstream;
  let memory: MemoryGrowth | undefined;

  afterEach(() => {
    memory?.stop();
    memory = undefined;
    scripted.stop();
  });

  function expectBoundedMemory(): void {
    const growth = memory!.stop();
    memory = undefined;
    expect(growth.residentBytes < MAX_MEMORY_GROWTH_BYTES).toEqual(true);
    expect(growth.liveBytes < MAX_LIVE_GROWTH_BYTES).toEqual(true);
  }

  async function start(...scripts: Script[]): Promise<void> {
    scripted = await ScriptedUpstream.start(scripts);
    ({servers, upstream} = scripted);
  }

  function failedServers(): string[] {
    return scripted.failures.map(({serverId}) => serverId);
  }

  function run(isIdempotent: boolean, requestId = 'r1') {
    return upstream.run({
      route: 'reads',
      service: SERVICE,
      request: {
        requestId,
        method: 'GET',
        target: '/',
        headers: ['Host', 'shop.example', 'Request-Id', requestId],
        body: {kind: 'none'},
      },
      team: 'north',
      rank: 1,
      isIdempotent,
      maxAttempts: 2,
      targetLatencyMs: 10_000,
      deadlineAtMs: performance.now() + DEADLINE_MS,
      abandoned: new AbortController().signal,
    });
  }

  function bodyText(outcome: UpstreamOutcome): string {
    if (outcome.kind !== 'answered') return outcome.kind;
    if (outcome.response.kind !== 'buffered') return 'streamed';
    return outcome.response.body.toString();
  }

  async function expectClosed(server: ScriptedServer): Promise<void> {
    const waitUntilMs = performance.now() + CLOSE_WITHIN_MS;
    while (server.connections > 0 && performance.now() < waitUntilMs) {
      await delay(10);
    }
    expect(server.connections).toEqual(0);
  }

  /** Reads a streamed body to its end; returns whether it ended by an error. */
  async function readUntilError(outcome: UpstreamOutcome): Promise<boolean> {
    if (outcome.kind !== 'answered') return true;
    const {response} = outcome;
    if (response.kind !== 'streamed') return false;
    try {
      response.body.resume();
      await finished(response.body);
      return false;
    } catch {
      return true;
    }
  }

  const good: Script = request => {
    request.socket.write(answerTo(request, {body: 'good'}));
  };

  for (const [name, script] of Object.entries(ENDLESS_FRAMING)) {
    it(`retries at another server before the deadline: ${name}`, async () => {
      await start(script, good);
      memory = MemoryGrowth.start();
      const startedAtMs = performance.now();
      expect(bodyText(await run(true))).toEqual('good');
      expect(performance.now() - startedAtMs < DEADLINE_MS).toEqual(true);
      await expectClosed(servers[0]!);
      expectBoundedMemory();
      expect(failedServers()).toEqual(['s0']);
    });

    it(`sends a non-idempotent request once: ${name}`, async () => {
      await start(script, good);
      const outcome = await run(false);
      expect(outcome.kind).toEqual('unknown');
      expect(servers[1]!.received.length).toEqual(0);
      await expectClosed(servers[0]!);
      expect(failedServers()).toEqual(['s0']);
    });
  }

  for (const [name, script] of Object.entries(ENDLESS_BODY)) {
    for (const isIdempotent of [true, false]) {
      const kind = isIdempotent ? 'idempotent' : 'non-idempotent';
      it(`breaks off at the deadline, ${kind}: ${name}`, async () => {
        await start(script, good);
        memory = MemoryGrowth.start();
        const startedAtMs = performance.now();
        const outcome = await run(isIdempotent);
        expect(await readUntilError(outcome)).toEqual(true);
        const tookMs = performance.now() - startedAtMs;
        expect(tookMs < DEADLINE_MS + CLOSE_WITHIN_MS).toEqual(true);
        await expectClosed(servers[0]!);
        expectBoundedMemory();
        expect(failedServers()).toEqual(['s0']);
      });
    }

    it(`goes on to serve other requests: ${name}`, async () => {
      await start(script, good);
      const endless = run(false).then(readUntilError);
      await delay(50);
      // The second request goes to the other server, as the first is busy.
      upstream.recordReportedFailure('s0', SERVICE);
      const startedAtMs = performance.now();
      expect(bodyText(await run(true, 'r2'))).toEqual('good');
      expect(performance.now() - startedAtMs < CLOSE_WITHIN_MS).toEqual(true);
      expect(await endless).toEqual(true);
    });
  }

  // The caller's pace must not be held against the server.
  it('does not avoid a server whose long response the caller reads slowly', async () => {
    const body = 'a'.repeat(1024 * 1024);
    await start(request => {
      request.socket.write(answerTo(request, {body}));
    }, good);
    const outcome = await run(false);
    expect(bodyText(outcome)).toEqual('streamed');
    await delay(DEADLINE_MS);
    expect(await readUntilError(outcome)).toEqual(true);
    await expectClosed(servers[0]!);
    expect(failedServers()).toEqual([]);
  });
});
