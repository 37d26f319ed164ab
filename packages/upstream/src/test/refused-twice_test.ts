/**
 * Guards against a refusal that a server writes more than once: it must not be
 * taken as the answer to a request that the server runs.
 */
import {expect} from 'earl';
import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, describe, it} from 'node:test';
import type {UpstreamOutcome} from '../lib/upstream-outcome.js';
import {answerTo} from '../testing/scripted-server.js';
import type {
  ReceivedRequest,
  ScriptedServer,
} from '../testing/scripted-server.js';
import {SERVICE, ScriptedUpstream} from '../testing/scripted-upstream.js';

const DEADLINE_MS = 2000;
const MAX_ATTEMPTS = 3;
// Of the scripted upstream.
const CONNECTION_LIMIT = 10;
// A server works on a request for so long.
const PROCESSING_MS = 10;
// Longer than a client needs to send its next request on the connection.
const LATE_MS = 5;

type Refusal = (request: ReceivedRequest) => string;

const REFUSALS: Record<string, Refusal> = {
  header: request =>
    answerTo(request, {
      status: '503 Full',
      headers: 'Not-Run: 1\r\n',
      body: 'full',
    }),
  'status 421': request =>
    answerTo(request, {status: '421 Misdirected', headers: '', body: 'other'}),
  'header without a body': request =>
    answerTo(request, {
      status: '429 Busy',
      headers: 'Not-Run: 1\r\n',
      body: '',
    }),
};

/** Writes a refusal a second time. */
type Repetition = (socket: Socket, refusal: string) => void;

const REPETITIONS: Record<string, Repetition> = {
  'in one segment': (socket, refusal) => {
    socket.write(refusal + refusal);
  },
  'in two segments': (socket, refusal) => {
    socket.write(refusal);
    setImmediate(() => socket.write(refusal));
  },
  'some milliseconds later': (socket, refusal) => {
    socket.write(refusal);
    setTimeout(() => socket.write(refusal), LATE_MS);
  },
};

describe('refusal that is written twice', () => {
  let scripted: ScriptedUpstream;
  let servers: ScriptedServer[];
  /** Ids of the requests that a server ran, one entry a run. */
  let runs: string[] = [];

  afterEach(() => {
    scripted.stop();
    runs = [];
  });

  async function start(
    ...scripts: ((request: ReceivedRequest) => void)[]
  ): Promise<void> {
    const immediate = scripts.map(script => (request: ReceivedRequest) => {
      // Each write is a segment of its own.
      request.socket.setNoDelay(true);
      script(request);
    });
    scripted = await ScriptedUpstream.start(immediate);
    ({servers} = scripted);
  }

  function send(
    requestId: string,
    isIdempotent = false,
    maxAttempts = MAX_ATTEMPTS,
  ): Promise<UpstreamOutcome> {
    return scripted.upstream.run({
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
      maxAttempts,
      targetLatencyMs: 10_000,
      deadlineAtMs: performance.now() + DEADLINE_MS,
      abandoned: new AbortController().signal,
    });
  }

  function runAndAnswer(request: ReceivedRequest): void {
    runs.push(request.requestId);
    const answer = answerTo(request, {body: request.requestId});
    setTimeout(() => request.socket.write(answer), PROCESSING_MS);
  }

  function countRuns(requestId: string): number {
    return runs.filter(id => id === requestId).length;
  }

  function bodyText(outcome: UpstreamOutcome): string {
    if (outcome.kind !== 'answered') return outcome.kind;
    if (outcome.response.kind !== 'buffered') return 'streamed';
    return outcome.response.body.toString();
  }

  /** Connections that carried a request id more than once. */
  function countRepeats(): number {
    let repeats = 0;
    const carried = new Map<Socket, Set<string>>();
    for (const {socket, requestId} of servers.flatMap(one => one.received)) {
      const ids = carried.get(socket) ?? new Set();
      if (ids.has(requestId)) repeats += 1;
      carried.set(socket, ids.add(requestId));
    }
    return repeats;
  }

  for (const [kind, refusal] of Object.entries(REFUSALS)) {
    // Guards against 'not run' for a request that runs: the server writes the
    // refusal of the first attempt once more when it receives the second.
    it(`is not the answer to the repeated request: ${kind}`, async () => {
      const refused = new Set<string>();
      await start(request => {
        const {requestId, socket} = request;
        if (refused.has(requestId)) {
          if (request.socket === firstSocket) socket.write(refusal(request));
          runAndAnswer(request);
          return;
        }
        firstSocket = socket;
        refused.add(requestId);
        socket.write(refusal(request));
      });
      let firstSocket: Socket | undefined;
      const outcome = await send('r1');
      expect(bodyText(outcome)).toEqual('r1');
      await delay(2 * PROCESSING_MS);
      expect(countRuns('r1')).toEqual(1);
      expect(countRepeats()).toEqual(0);
    });

    // Guards against a caller that is told 'not run', sends the request again
    // under the same id, and is told so again while the request runs.
    it(`is not the answer to a later request of the same id: ${kind}`, async () => {
      const refused = new Map<string, Socket>();
      await start(request => {
        const {requestId, socket} = request;
        const refusedBy = refused.get(requestId);
        if (refusedBy) {
          if (refusedBy === socket) socket.write(refusal(request));
          runAndAnswer(request);
          return;
        }
        refused.set(requestId, socket);
        socket.write(refusal(request));
      });
      expect((await send('r1', false, 1)).kind).toEqual('not-run');
      expect(bodyText(await send('r1', false, 1))).toEqual('r1');
      expect(countRuns('r1')).toEqual(1);
    });

    for (const [name, write] of Object.entries(REPETITIONS)) {
      // Guards against a refusal that is taken for a request with another id.
      it(`is not the answer to the next request: ${kind}, ${name}`, async () => {
        const refused = new Set<string>();
        await start(request => {
          const {requestId, socket} = request;
          if (requestId !== 'r1' || refused.has(requestId)) {
            runAndAnswer(request);
            return;
          }
          refused.add(requestId);
          write(socket, refusal(request));
        });
        expect((await send('r1', false, 1)).kind).toEqual('not-run');
        for (const id of ['r2', 'r3', 'r1', 'r4', 'r5']) {
          const outcome = await send(id, false, 1);
          // The repeated refusal may cross the request on the connection.
          if (outcome.kind === 'unknown') continue;
          expect(bodyText(outcome)).toEqual(id);
          await delay(1);
        }
        await delay(2 * PROCESSING_MS);
        for (const id of ['r2', 'r3', 'r1', 'r4', 'r5']) {
          expect(countRuns(id)).toBeLessThanOrEqual(1);
        }
      });
    }
  }

  // Guards against a refusal whose repetition begins behind the refusal, while no
  // request waits or in the moment of the next request, and goes on when that
  // request has arrived.
  for (const when of ['at once', 'later', 'beside the next request']) {
    it(`is not the answer when it begins ${when}, at any byte`, async () => {
      let splitAt = 1;
      let refused: ReceivedRequest | undefined;
      await start(request => {
        const refusal = REFUSALS['header']!(request);
        if (refused?.requestId === request.requestId) {
          if (request.socket === refused.socket) {
            request.socket.write(refusal.slice(splitAt));
          }
          runAndAnswer(request);
          return;
        }
        refused = request;
        const early = when === 'at once' ? refusal.slice(0, splitAt) : '';
        request.socket.write(refusal + early);
      });
      for (let length = Infinity; splitAt < length; splitAt += 1) {
        const requestId = `r${splitAt}`;
        expect((await send(requestId, false, 1)).kind).toEqual('not-run');
        const refusal = REFUSALS['header']!(refused!);
        ({length} = refusal);
        if (when !== 'at once')
          refused!.socket.write(refusal.slice(0, splitAt));
        if (when === 'later') await delay(1);
        const outcome = await send(requestId, false, 1);
        expect(bodyText(outcome)).toEqual(requestId);
        expect(countRuns(requestId)).toEqual(1);
      }
    });
  }

  // Guards against a connection on which bytes arrived while no request waited.
  it('closes the idle connection on which it arrives', async () => {
    await start(request => {
      if (request.requestId === 'r1') {
        request.socket.write(REFUSALS['header']!(request));
        setTimeout(
          () => request.socket.write(REFUSALS['header']!(request)),
          LATE_MS,
        );
      } else runAndAnswer(request);
    });
    expect((await send('r1', false, 1)).kind).toEqual('not-run');
    await delay(10 * LATE_MS);
    expect(servers[0]!.connections).toEqual(0);
    expect(bodyText(await send('r2'))).toEqual('r2');
  });

  // Guards against 'not run' when the refusal names another request.
  for (const isIdempotent of [true, false]) {
    const who = isIdempotent ? 'idempotent' : 'non-idempotent';
    it(`of another request before the answer is not 'not run': ${who}`, async () => {
      await start(request => {
        const other = {...request, requestId: 'other'};
        request.socket.write(REFUSALS['header']!(other));
        runAndAnswer(request);
      });
      const outcome = await send('r1', isIdempotent);
      expect(outcome.kind).toEqual('unknown');
      if (!isIdempotent) expect(countRuns('r1')).toEqual(1);
    });
  }

  // Guards against a service without room: the connections that have carried an
  // id must not hold the places of those that may carry it.
  it('leaves room for further requests of the same id', async () => {
    await start(runAndAnswer);
    for (let count = 0; count < 2 * CONNECTION_LIMIT; count += 1) {
      expect(bodyText(await send('r1'))).toEqual('r1');
    }
    expect(countRepeats()).toEqual(0);
    await delay(PROCESSING_MS);
    expect(servers[0]!.connections).toBeLessThanOrEqual(CONNECTION_LIMIT);
  });

  // Guards against connections that carry one request only, and against ids that
  // are kept without bound.
  it('costs requests with different ids one new connection in 500', async () => {
    await start(request => {
      request.socket.write(answerTo(request, {body: request.requestId}));
    });
    const connectionsAfter = async (lastId: number): Promise<number> => {
      const firstId = servers[0]!.received.length + 1;
      for (let id = firstId; id <= lastId; id += 1) await send(`r${id}`);
      return new Set(servers[0]!.received.map(({socket}) => socket)).size;
    };
    expect(await connectionsAfter(500)).toEqual(1);
    expect(await connectionsAfter(501)).toEqual(2);
  });

  // Guards against a connection that is opened in place of one that closed
  // while a request waited to be written: how the first ended is no sign that
  // the answer on the second is incomplete.
  it('in the moment of the next request does not spoil its answer', async () => {
    let firstSocket: Socket | undefined;
    await start(request => {
      const {requestId, socket} = request;
      firstSocket ??= socket;
      if (requestId === 'r1') socket.write(REFUSALS['header']!(request));
      else {
        runs.push(requestId);
        const head =
          `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSignature: good\r\n` +
          'Transfer-Encoding: chunked\r\n\r\n';
        socket.write(`${head}5\r\nwhole\r\n0\r\n\r\n`);
      }
    });
    expect((await send('r1', false, 1)).kind).toEqual('not-run');
    await delay(LATE_MS);
    const answered = send('r2', false, 1);
    firstSocket!.write(REFUSALS['header']!(servers[0]!.received[0]!));
    expect(bodyText(await answered)).toEqual('whole');
    expect(countRuns('r2')).toEqual(1);
    expect(servers[0]!.received.length).toEqual(2);
  });
});
