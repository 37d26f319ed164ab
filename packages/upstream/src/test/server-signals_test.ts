/**
 * Guards against requests to a backend server that has said that it leaves, or
 * that it wants none for a while.
 */
import {expect} from 'earl';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, describe, it} from 'node:test';
import type {UpstreamOutcome} from '../lib/upstream-outcome.js';
import {answerTo} from '../testing/scripted-server.js';
import type {Script} from '../testing/scripted-server.js';
import {SERVICE, ScriptedUpstream} from '../testing/scripted-upstream.js';

const GOOD = 'Signature: good\r\n';
const LEAVING = 'Server-Leaving: 1\r\n';
const PAUSE_MS = 1000;
const PAUSE = `Retry-After: ${PAUSE_MS / 1000}\r\n`;
const NOT_RUN = 'Not-Run: 1\r\n';
const STREAMED_BYTES = 400_000;

const goodScript: Script = request => {
  request.socket.write(answerTo(request));
};

function refusing(headers: string): Script {
  return request => {
    request.socket.write(
      answerTo(request, {status: '503 Full', headers: NOT_RUN + headers}),
    );
  };
}

let scripted: ScriptedUpstream;
let nextId = 0;

async function start(...scripts: Script[]): Promise<void> {
  scripted = await ScriptedUpstream.start(scripts);
}

async function send(
  change: {maxAttempts?: number; targetLatencyMs?: number} = {},
): Promise<UpstreamOutcome> {
  nextId += 1;
  const requestId = `signal-${nextId}`;
  const outcome = await scripted.upstream.run({
    route: 'reads',
    service: SERVICE,
    request: {
      requestId,
      method: 'GET',
      target: '/a',
      headers: ['Host', 'shop.example', 'Request-Id', requestId],
      body: {kind: 'none'},
    },
    team: 'north',
    rank: 1,
    isIdempotent: true,
    maxAttempts: 1,
    targetLatencyMs: 10_000,
    deadlineAtMs: performance.now() + 2000,
    abandoned: new AbortController().signal,
    ...change,
  });
  if (outcome.kind === 'answered' && outcome.response.kind === 'streamed') {
    const {body} = outcome.response;
    body.resume();
    await new Promise(resolve => body.once('close', resolve));
  }
  return outcome;
}

function received(index: number): number {
  return scripted.servers[index]!.received.length;
}

describe('server that says it leaves', () => {
  afterEach(() => scripted.stop());

  const ANSWERS: Record<string, Script> = {
    'a success': request => {
      request.socket.write(answerTo(request, {headers: GOOD + LEAVING}));
    },
    'a success without a body': request => {
      const head = `Request-Id: ${request.requestId}\r\n${GOOD}${LEAVING}`;
      request.socket.write(`HTTP/1.1 204 No Content\r\n${head}\r\n`);
    },
    'a success with a content encoding': request => {
      const headers = `${GOOD}${LEAVING}Content-Encoding: gzip\r\n`;
      request.socket.write(answerTo(request, {headers}));
    },
    'an error': request => {
      const status = '500 Error';
      request.socket.write(answerTo(request, {status, headers: LEAVING}));
    },
    'a refusal': refusing(LEAVING),
    'status 421': request => {
      const status = '421 Misdirected';
      request.socket.write(answerTo(request, {status, headers: LEAVING}));
    },
    'a streamed response': request => {
      const body = 'x'.repeat(STREAMED_BYTES);
      request.socket.write(answerTo(request, {headers: GOOD + LEAVING, body}));
    },
    'a response that is broken off after its head': request => {
      const text = answerTo(request, {headers: GOOD + LEAVING});
      request.socket.write(text.slice(0, -2), () =>
        request.socket.resetAndDestroy(),
      );
    },
  };
  for (const [name, script] of Object.entries(ANSWERS)) {
    // Guards against a kind of response whose head is not heard.
    it(`gets nothing more after ${name}`, async () => {
      await start(script);
      await send();
      const outcome = await send({maxAttempts: 3});
      expect(received(0)).toEqual(1);
      expect(outcome.kind).toEqual('not-run');
      expect('retryAfterMs' in outcome).toEqual(false);
      expect(outcome.turnedAway).toEqual(['s0']);
    });
  }

  // Guards against a retry that goes back to the only server.
  it('gets no retry of the request that it refused', async () => {
    await start(refusing(LEAVING));
    const outcome = await send({maxAttempts: 3});
    expect(received(0)).toEqual(1);
    expect(outcome.kind).toEqual('not-run');
  });

  // Guards against a hedged attempt to a server that leaves.
  it('gets no hedged attempt', async () => {
    await start(
      async request => {
        await delay(300);
        request.socket.write(answerTo(request));
      },
      request => {
        request.socket.write(answerTo(request, {headers: GOOD + LEAVING}));
      },
    );
    expect(await send({maxAttempts: 2, targetLatencyMs: 20})).toEqual(
      expect.subset({kind: 'answered', serverId: 's1'}),
    );
    expect(await send({maxAttempts: 2, targetLatencyMs: 20})).toEqual(
      expect.subset({kind: 'answered', serverId: 's0'}),
    );
    expect(received(1)).toEqual(1);
  });

  // Guards against requests that are refused though another server is there.
  it('leaves its requests to the others', async () => {
    await start(request => {
      request.socket.write(answerTo(request, {headers: GOOD + LEAVING}));
    }, goodScript);
    await send();
    for (let count = 0; count < 5; count += 1) {
      expect((await send()).kind).toEqual('answered');
    }
    expect(received(0)).toEqual(1);
  });

  // Guards against running work that is broken off, and connections kept open.
  it('finishes what runs there and is left by its connections', async () => {
    let count = 0;
    await start(async request => {
      count += 1;
      if (count === 1) await delay(100);
      const headers = count === 1 ? GOOD : GOOD + LEAVING;
      request.socket.write(answerTo(request, {headers}));
    });
    const slow = send();
    await delay(20);
    await send();
    expect((await slow).kind).toEqual('answered');
    await delay(50);
    expect(scripted.servers[0]!.connections).toEqual(0);
  });

  // Guards against a store entry that comes late or returns and still says ready.
  it('is not brought back by a store entry of the same run', async () => {
    await start(request => {
      request.socket.write(answerTo(request, {headers: GOOD + LEAVING}));
    });
    await send();
    const [entry] = scripted.entries;
    scripted.upstream.removeServer(entry!);
    scripted.upstream.addServer({...entry!, report: {...entry!.report}});
    expect((await send()).kind).toEqual('not-run');
    expect(received(0)).toEqual(1);
  });

  const OTHERS = {
    'a new start under the same id': {startedAtMs: 2},
    'another server at the same address': {serverId: 'other'},
  };
  for (const [name, change] of Object.entries(OTHERS)) {
    // Guards against a word that outlives the run that gave it.
    it(`does not hold ${name}`, async () => {
      let headers = GOOD + LEAVING;
      await start(request => {
        request.socket.write(answerTo(request, {headers}));
      });
      await send();
      headers = GOOD;
      const [entry] = scripted.entries;
      scripted.upstream.removeServer(entry!);
      scripted.upstream.addServer({
        ...entry!,
        report: {...entry!.report, ...change},
      });
      expect((await send()).kind).toEqual('answered');
    });
  }

  // Guards against an odd value that ends the use of a server.
  it('is used further after a value that says nothing', async () => {
    await start(request => {
      const headers = `${GOOD}Server-Leaving: 0\r\n`;
      request.socket.write(answerTo(request, {headers}));
    });
    await send();
    expect((await send()).kind).toEqual('answered');
  });

  // Guards against a response that belongs to another request, maybe of another server.
  it('is not taken to leave by a response to another request', async () => {
    let isFirst = true;
    await start(request => {
      const change = isFirst ? {id: 'other', headers: GOOD + LEAVING} : {};
      isFirst = false;
      request.socket.write(answerTo(request, change));
    });
    await send();
    expect((await send()).kind).toEqual('answered');
  });

  // Guards against a server that says so while a grant for it is under way.
  it('gets no request whose grant was under way', async () => {
    await start(async request => {
      const headers = `${GOOD}Server-Limit: 1000\r\n`;
      const isLast = received(0) === 2;
      if (isLast) await delay(20);
      request.socket.write(
        answerTo(request, {headers: isLast ? headers + LEAVING : headers}),
      );
    });
    await send();
    const second = send();
    await delay(5);
    scripted.beforeGrant = () => delay(60);
    const third = send();
    expect((await second).kind).toEqual('answered');
    expect((await third).kind).toEqual('not-run');
    expect(received(0)).toEqual(2);
  });
});

describe('server that asks for a pause', () => {
  afterEach(() => scripted.stop());

  // Guards against requests within the pause, and against a pause without end.
  it('gets nothing until the pause ends, then requests again', async () => {
    let script = refusing(PAUSE);
    await start(request => script(request));
    const askedAtMs = performance.now();
    await send({maxAttempts: 3});
    script = goodScript;
    const outcome = await send({maxAttempts: 3});
    expect(received(0)).toEqual(1);
    const retryAfterMs =
      outcome.kind === 'not-run' ? (outcome.retryAfterMs ?? 0) : 0;
    expect(retryAfterMs > 0 && retryAfterMs <= PAUSE_MS).toEqual(true);
    await delay(askedAtMs + PAUSE_MS + 50 - performance.now());
    expect((await send()).kind).toEqual('answered');
  });

  // Guards against a caller that is told to come back too late or too early.
  it('lets the refusal name the end of the first pause', async () => {
    await start(refusing('Retry-After: 20\r\n'), refusing(PAUSE));
    const outcome = await send({maxAttempts: 2});
    expect([received(0), received(1)]).toEqual([1, 1]);
    const last = await send({maxAttempts: 2});
    for (const {kind} of [outcome, last]) expect(kind).toEqual('not-run');
    const retryAfterMs = last.kind === 'not-run' ? last.retryAfterMs : 0;
    expect((retryAfterMs ?? Infinity) <= PAUSE_MS).toEqual(true);
    expect(last.turnedAway).toEqual(['s0', 's1']);
  });

  // Guards against a pause that counts as a failure: the server is ejected.
  it('is neither avoided nor reported', async () => {
    const short = 'Retry-After: 0.05\r\n';
    await start(refusing(short), goodScript);
    for (let count = 0; count < 4; count += 1) {
      await send({maxAttempts: 2});
      await delay(70);
    }
    expect(received(0)).toEqual(4);
    expect(scripted.failures).toEqual([]);
    expect(scripted.upstream.countBeliefs().trusted).toEqual(2);
  });

  // Guards against a success of a request that was on its way and ends the pause.
  it('is not called upon sooner after a success', async () => {
    await start(async request => {
      if (received(0) === 1) {
        await delay(60);
        goodScript(request);
      } else refusing('Retry-After: 20\r\n')(request);
    });
    const slow = send();
    await delay(20);
    await send();
    expect((await slow).kind).toEqual('answered');
    expect((await send()).kind).toEqual('not-run');
    expect(received(0)).toEqual(2);
  });

  // Guards against a short pause that ends a longer one, which was asked for in
  // a response that took less time.
  it('lasts until the latest end that was asked for', async () => {
    await start(async request => {
      const isFirst = received(0) === 1;
      if (isFirst) await delay(40);
      refusing(isFirst ? 'Retry-After: 0.1\r\n' : 'Retry-After: 50\r\n')(
        request,
      );
    });
    const slow = send();
    await delay(10);
    await send();
    await slow;
    await delay(150);
    await send();
    expect(received(0)).toEqual(2);
  });

  const NO_PAUSES: Record<string, Script> = {
    'zero seconds': refusing('Retry-After: 0\r\n'),
    'a negative number': refusing('Retry-After: -5\r\n'),
    'no value': refusing('Retry-After:\r\n'),
    'a word': refusing('Retry-After: soon\r\n'),
    'a date': refusing('Retry-After: Fri, 05 Dec 2099 09:00:00 GMT\r\n'),
    'a success': request => {
      request.socket.write(answerTo(request, {headers: GOOD + PAUSE}));
    },
    'status 429': request => {
      const status = '429 Busy';
      const headers = NOT_RUN + PAUSE;
      request.socket.write(answerTo(request, {status, headers}));
    },
  };
  for (const [name, script] of Object.entries(NO_PAUSES)) {
    // Guards against a response that is no request for a pause and ends in one.
    it(`does not pause with ${name}`, async () => {
      await start(script);
      await send();
      await send();
      expect(received(0)).toEqual(2);
    });
  }

  // Guards against a pause of a run that holds its successor.
  it('does not hold a new start under the same id', async () => {
    let script = refusing('Retry-After: 50\r\n');
    await start(request => script(request));
    await send();
    script = goodScript;
    const [entry] = scripted.entries;
    scripted.upstream.removeServer(entry!);
    const report = {...entry!.report, startedAtMs: 2};
    scripted.upstream.addServer({...entry!, report});
    expect((await send()).kind).toEqual('answered');
  });
});
