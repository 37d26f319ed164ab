/**
 * Guards against responses that are incomplete or belong to another request, and
 * against non-idempotent requests that run twice.
 */
import {expect} from 'earl';
import {afterEach, describe, it} from 'node:test';
import {answerTo} from '../testing/scripted-server.js';
import type {ScriptedServer} from '../testing/scripted-server.js';
import type {Script} from '../testing/scripted-server.js';
import {SERVICE, ScriptedUpstream} from '../testing/scripted-upstream.js';
import type {Upstream} from '../lib/upstream.js';
import type {RunOptions} from '../lib/request-run.js';
import type {UpstreamOutcome} from '../lib/upstream-outcome.js';

function chunkedHead(requestId: string): string {
  return (
    `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSignature: good\r\n` +
    'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n'
  );
}

describe('request run', () => {
  let scripted: ScriptedUpstream;
  let servers: ScriptedServer[];
  let upstream: Upstream;

  /** Requests sent in the test; each has an id of its own, as callers' do. */
  let sent = 0;

  afterEach(() => {
    scripted.stop();
    sent = 0;
  });

  async function start(...scripts: Script[]): Promise<void> {
    scripted = await ScriptedUpstream.start(scripts);
    ({servers, upstream} = scripted);
  }

  function run(change: Partial<RunOptions> = {}): Promise<UpstreamOutcome> {
    sent += 1;
    const requestId = `r${sent}`;
    return upstream.run({
      route: 'reads',
      service: SERVICE,
      request: {
        requestId,
        method: 'GET',
        target: '/a/b?c=d',
        headers: ['Host', 'shop.example', 'Request-Id', requestId],
        body: {kind: 'none'},
      },
      team: 'north',
      rank: 1,
      isIdempotent: true,
      maxAttempts: 2,
      targetLatencyMs: 10_000,
      deadlineAtMs: performance.now() + 2000,
      abandoned: new AbortController().signal,
      ...change,
    });
  }

  function bodyText(outcome: UpstreamOutcome): string {
    if (outcome.kind !== 'answered') return outcome.kind;
    if (outcome.response.kind !== 'buffered') return 'streamed';
    return outcome.response.body.toString();
  }

  const good: Script = request => {
    request.socket.write(answerTo(request, {body: 'good'}));
  };

  it('forwards the request with its server, team and remaining time', async () => {
    await start(good);
    expect(bodyText(await run())).toEqual('good');
    const {head} = servers[0]!.received[0]!;
    expect(head.startsWith('GET /a/b?c=d HTTP/1.1')).toEqual(true);
    expect(/host: shop\.example/i.test(head)).toEqual(true);
    expect(/expected-server: s0/i.test(head)).toEqual(true);
    expect(/team: north/i.test(head)).toEqual(true);
    const deadlineMs = Number(/deadline-ms: (\d+)/i.exec(head)?.[1]);
    expect(deadlineMs > 1500 && deadlineMs <= 2000).toEqual(true);
  });

  const faults: Record<string, Script> = {
    'responds to another request': request =>
      void request.socket.write(answerTo(request, {id: 'other'})),
    'truncates its response': request =>
      void request.socket.end(answerTo(request, {body: 'long'}).slice(0, -2)),
    'sends bytes that are not HTTP': request =>
      void request.socket.end('\0\0garbage\r\n\r\n'),
    'sends a success without a signature': request =>
      void request.socket.write(answerTo(request, {headers: ''})),
    'states "not run" for another request': request =>
      void request.socket.write(
        answerTo(request, {
          id: 'other',
          status: '503 Full',
          headers: 'Not-Run: 1\r\n',
        }),
      ),
    'states "not run" without a request id': request =>
      void request.socket.write(
        'HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n',
      ),
    'sends an encoded body': request =>
      void request.socket.write(
        answerTo(request, {
          headers: 'Signature: good\r\nContent-Encoding: gzip\r\n',
        }),
      ),
    'resets a response without a length': request => {
      const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${request.requestId}\r\n`;
      request.socket.write(`${head}Signature: good\r\n\r\npart`, () =>
        setTimeout(() => request.socket.resetAndDestroy(), 20),
      );
    },
    // Node then receives data and reset in one event loop turn and reports an
    // orderly end.
    'resets a response without a length together with its data': request => {
      const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${request.requestId}\r\n`;
      request.socket.write(`${head}Signature: good\r\n\r\npart`);
      request.socket.resetAndDestroy();
    },
    'ends a chunked response before its last chunk': request =>
      void request.socket.end(chunkedHead(request.requestId)),
    'resets a chunked response before its last chunk': request => {
      request.socket.write(chunkedHead(request.requestId), () =>
        setTimeout(() => request.socket.resetAndDestroy(), 20),
      );
    },
    'resets a response before its full length': request => {
      const complete = answerTo(request, {
        headers: 'Signature: good\r\nConnection: close\r\n',
      });
      request.socket.write(complete.slice(0, -2), () =>
        setTimeout(() => request.socket.resetAndDestroy(), 20),
      );
    },
    'closes without a response': request => void request.socket.end(),
    'reports an error': request =>
      void request.socket.write(answerTo(request, {status: '500 Error'})),
  };

  for (const [fault, script] of Object.entries(faults)) {
    it(`retries at another server when one ${fault}`, async () => {
      await start(script, good);
      expect(bodyText(await run())).toEqual('good');
    });

    it(`runs a non-idempotent request once when the server ${fault}`, async () => {
      await start(script, good);
      const outcome = await run({isIdempotent: false});
      const failed =
        outcome.kind === 'unknown' ||
        (outcome.kind === 'answered' && outcome.response.status === 500);
      expect(failed).toEqual(true);
      expect(servers[0]!.received.length).toEqual(1);
      expect(servers[1]!.received.length).toEqual(0);
    });
  }

  it('forwards a response that is delimited by the end of its connection', async () => {
    await start(request => {
      const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${request.requestId}\r\n`;
      request.socket.end(`${head}Signature: good\r\n\r\nwhole`);
    });
    expect(bodyText(await run())).toEqual('whole');
  });

  it('retries a non-idempotent request that the server did not run', async () => {
    const reject: Script = request =>
      void request.socket.write(
        answerTo(request, {
          status: '503 Full',
          headers: 'Not-Run: 1\r\n',
        }),
      );
    await start(reject, good);
    expect(bodyText(await run({isIdempotent: false}))).toEqual('good');
  });

  it('does not report "not run" for a 503 without that statement', async () => {
    await start(
      request =>
        void request.socket.write(
          answerTo(request, {status: '503 Full', headers: ''}),
        ),
    );
    const outcome = await run({isIdempotent: false});
    expect(outcome.kind).toEqual('unknown');
  });

  it('does not use a stray response for the next request', async () => {
    await start(request => {
      const stray = answerTo(request, {body: 'stray'});
      request.socket.write(answerTo(request, {body: 'first'}) + stray);
    }, good);
    expect(bodyText(await run())).toEqual('first');
    const next = await run({
      request: {
        requestId: 'r2',
        method: 'GET',
        target: '/',
        headers: ['Host', 'a', 'Request-Id', 'r2'],
        body: {kind: 'none'},
      },
    });
    expect(bodyText(next)).toEqual('first');
    const ids = servers[0]!.received.map(request => request.requestId);
    expect(ids).toEqual(['r1', 'r2']);
  });

  it('does not avoid a server that dropped an idle connection', async () => {
    let dropsIdle = true;
    await start(request => {
      const kept = request.socket.bytesRead > request.head.length + 4;
      if (kept && dropsIdle) request.socket.resetAndDestroy();
      else good(request);
    }, good);
    await run();
    expect(bodyText(await run())).toEqual('good');
    expect(servers[1]!.received.length).toEqual(1);
    dropsIdle = false;
    expect(bodyText(await run())).toEqual('good');
    expect(servers[0]!.received.length).toEqual(3);
  });

  it('sends non-idempotent requests on connections that were not idle', async () => {
    await start(good);
    await run({isIdempotent: false});
    await new Promise(resolve => setTimeout(resolve, 300));
    await run({isIdempotent: false});
    const sockets = servers[0]!.received.map(request => request.socket);
    expect(new Set(sockets).size).toEqual(2);
  });

  it('reports "not run" only when no byte was sent', async () => {
    await start(good);
    servers[0]!.stop();
    await new Promise(resolve => setTimeout(resolve, 20));
    const outcome = await run({isIdempotent: false});
    expect(outcome.kind).toEqual('not-run');
  });

  it('reports "deadline" once the request was sent', async () => {
    await start(() => {});
    const outcome = await run({deadlineAtMs: performance.now() + 100});
    expect(outcome.kind).toEqual('deadline');
  });

  // Guards against a route that no server can serve in time and that takes one
  // server after the other out of use for the whole fleet.
  it('reports no server whose request of an unknown route missed its deadline', async () => {
    await start(() => {});
    await run({deadlineAtMs: performance.now() + 100});
    expect(scripted.failures).toEqual([]);
  });

  it('closes the connection of an idempotent request whose caller disconnected', async () => {
    await start(() => {});
    const abandoned = new AbortController();
    const ended = run({abandoned: abandoned.signal});
    await new Promise(resolve => setTimeout(resolve, 50));
    const closed = new Promise(resolve =>
      servers[0]!.received[0]!.socket.once('close', resolve),
    );
    abandoned.abort();
    expect((await ended).kind).toEqual('abandoned');
    await closed;
  });

  // Nobody would learn the outcome of a second attempt.
  for (const ends of ['rejects', 'closes its connection'] as const) {
    it(`sends nothing more for a caller that left, if the server ${ends}`, async () => {
      await start(() => {}, good);
      const abandoned = new AbortController();
      const ended = run({isIdempotent: false, abandoned: abandoned.signal});
      await new Promise(resolve => setTimeout(resolve, 50));
      abandoned.abort();
      const request = servers[0]!.received[0]!;
      if (ends === 'rejects') {
        const rejection = {status: '503 Busy', headers: 'Not-Run: 1\r\n'};
        request.socket.write(answerTo(request, rejection));
      } else {
        request.socket.destroy();
      }
      const expected = ends === 'rejects' ? 'abandoned' : 'unknown';
      expect((await ended).kind).toEqual(expected);
      expect(servers[1]!.received.length).toEqual(0);
    });
  }
});
