/**
 * Guards against limits of backend servers that are misread, and against a limit
 * that is taken to have ended because a failed response did not repeat it.
 */
import {createLogger} from '@fireflytrack/telemetry';
import {expect} from 'earl';
import fc from 'fast-check';
import {afterEach, describe, it} from 'node:test';
import {KnownLimits} from '../lib/known-limits.js';
import {readServerLimit} from '../lib/server-limit.js';
import {answerTo} from '../testing/scripted-server.js';
import type {Script} from '../testing/scripted-server.js';
import {SERVICE, ScriptedUpstream} from '../testing/scripted-upstream.js';

describe('limit header', () => {
  const readings: [string | string[], number | undefined][] = [
    ['1.1', 1.1],
    [' 12 ', 12],
    ['0', 0.1],
    ['0.0001', 0.1],
    ['99999999999', 1_000_000],
    [['3', '2'], 2],
    [['x', '2'], 2],
    ['', undefined],
    ['-1', undefined],
    ['1e3', undefined],
    ['0x10', undefined],
    ['NaN', undefined],
    ['Infinity', undefined],
    ['1, 2', undefined],
    ['1'.repeat(400), undefined],
  ];
  for (const [value, expected] of readings) {
    const shown = JSON.stringify(value).slice(0, 30);
    it(`is read as ${expected ?? 'unreadable'} from ${shown}`, () => {
      const reading = readServerLimit(value);
      const read =
        reading.kind === 'named' ? reading.requestsPerSecond : reading.kind;
      expect(read).toEqual(expected ?? 'unreadable');
    });
  }

  it('is read as a usable rate or not at all from any text', () => {
    fc.assert(
      fc.property(fc.string(), text => {
        const reading = readServerLimit(text);
        if (reading.kind !== 'named') return reading.kind === 'unreadable';
        const {requestsPerSecond} = reading;
        return requestsPerSecond >= 0.1 && requestsPerSecond <= 1_000_000;
      }),
    );
  });
});

describe('known limits', () => {
  it('are bounded in number', () => {
    const logger = createLogger({level: 'error', silent: true});
    const limits = KnownLimits.create(logger);
    for (let index = 0; index < 5000; index += 1) {
      const run = {serverId: `s${index}`, startedAtMs: 1, service: SERVICE};
      limits.learn({...run, requestsPerSecond: 1}, 'peer');
    }
    expect(limits.size <= 2000).toEqual(true);
  });

  // Guards against a server whose entry lapses, and that every instance then
  // has to be told of again.
  it('are kept for a server that leaves and returns', () => {
    const logger = createLogger({level: 'error', silent: true});
    const limits = KnownLimits.create(logger);
    const run = {serverId: 's', startedAtMs: 1, service: SERVICE};
    limits.learn({...run, requestsPerSecond: 1}, 'peer');
    limits.retire(run);
    expect(limits.find(run)?.requestsPerSecond).toEqual(1);
  });

  it('belong to one run of a server', () => {
    const logger = createLogger({level: 'error', silent: true});
    const limits = KnownLimits.create(logger);
    const run = {serverId: 's', startedAtMs: 1, service: SERVICE};
    limits.learn({...run, requestsPerSecond: 1}, 'peer');
    expect(limits.find({...run, startedAtMs: 2})).toEqual(undefined);
  });
});

describe('limit in responses', () => {
  let scripted: ScriptedUpstream;
  let nextId = 0;

  afterEach(() => scripted.stop());

  async function start(...scripts: Script[]): Promise<void> {
    scripted = await ScriptedUpstream.start(scripts);
  }

  async function send(): Promise<void> {
    nextId += 1;
    const requestId = `limit-${nextId}`;
    await scripted.upstream.run({
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
      isIdempotent: false,
      maxAttempts: 1,
      targetLatencyMs: 10_000,
      deadlineAtMs: performance.now() + 2000,
      abandoned: new AbortController().signal,
    });
  }

  function knownRate(): number | undefined {
    return scripted.limits.list()[0]?.requestsPerSecond;
  }

  const GOOD = 'Signature: good\r\n';
  const LIMITED = `${GOOD}Server-Limit: 1000\r\n`;

  it('ends with a later success that does not name it', async () => {
    let headers = LIMITED;
    await start(request => {
      request.socket.write(answerTo(request, {headers}));
    });
    await send();
    expect(knownRate()).toEqual(1000);
    headers = GOOD;
    await send();
    expect(knownRate()).toEqual(undefined);
  });

  it('is learned from a rejection as well', async () => {
    await start(request => {
      const headers = 'Not-Run: 1\r\nServer-Limit: 1000\r\n';
      request.socket.write(answerTo(request, {status: '503 Full', headers}));
    });
    await send();
    expect(knownRate()).toEqual(1000);
  });

  const FAILURES: Record<string, Script> = {
    'a rejection': request => {
      const rejected = {status: '503 Full', headers: 'Not-Run: 1\r\n'};
      request.socket.write(answerTo(request, rejected));
    },
    'an error status': request => {
      const status = '500 Error';
      request.socket.write(answerTo(request, {status, headers: GOOD}));
    },
    'a response that is cut off': request => {
      const text = answerTo(request, {headers: GOOD});
      request.socket.write(text.slice(0, -2), () =>
        request.socket.resetAndDestroy(),
      );
    },
    'a response to another request': request => {
      request.socket.write(answerTo(request, {id: 'other', headers: GOOD}));
    },
    'an unreadable value': request => {
      const headers = `${GOOD}Server-Limit: many\r\n`;
      request.socket.write(answerTo(request, {headers}));
    },
  };
  for (const [name, failure] of Object.entries(FAILURES)) {
    it(`does not end with ${name}`, async () => {
      let script: Script = request => {
        request.socket.write(answerTo(request, {headers: LIMITED}));
      };
      await start(request => script(request));
      await send();
      script = failure;
      await send();
      expect(knownRate()).toEqual(1000);
    });
  }

  it('does not end with a success that crossed its naming', async () => {
    const held: Parameters<Script>[0][] = [];
    await start(request => {
      held.push(request);
      if (held.length < 2) return;
      request.socket.write(answerTo(request, {headers: LIMITED}));
    });
    const first = send();
    await send();
    expect(knownRate()).toEqual(1000);
    held[0]!.socket.write(answerTo(held[0]!, {headers: GOOD}));
    await first;
    expect(knownRate()).toEqual(1000);
  });

  // Guards against requests that reach a server after it left, because they had
  // to wait for a grant.
  it('does not lead to a server that left while a grant was under way', async () => {
    const script: Script = request => {
      request.socket.write(answerTo(request, {headers: LIMITED}));
    };
    await start(script, script);
    await send();
    const [first, second] = scripted.servers;
    const before = first!.received.length;
    expect(before).toEqual(1);
    scripted.beforeGrant = async () => {
      const [entry] = scripted.entries.splice(0, 1);
      if (entry?.report.serverId === 's0')
        scripted.upstream.removeServer(entry);
    };
    await send();
    expect(first!.received.length).toEqual(before);
    expect(second!.received.length).toEqual(1);
  });
});
