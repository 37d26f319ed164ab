/**
 * Guards against server addresses to which no connection can be created: they
 * must cost neither the request nor room in the pool.
 */
import {expect} from 'earl';
import {afterEach, describe, it} from 'node:test';
import {ServerPool} from '../lib/server-pool.js';
import {answerTo} from '../testing/scripted-server.js';
import {SERVICE, ScriptedUpstream} from '../testing/scripted-upstream.js';

const ODD_ADDRESSES: Array<[string, number]> = [
  ['bad host', 80],
  ['[', 80],
  ['h/x', 80],
  ['u@h#', 80],
  ['%', 80],
  ['a\0b', 80],
  ['h', 70_000],
  ['h', Number.NaN],
  ['h', 1e308],
];
const MAX_CONNECTIONS = 2;

describe('pool of a server with an odd address', () => {
  // Guards against an exception that leaves the pool after its size was counted.
  for (const [host, port] of ODD_ADDRESSES) {
    it(`reports a failure for ${JSON.stringify(host)}:${port} and keeps its room`, () => {
      const maxConnections = () => MAX_CONNECTIONS;
      const pool = ServerPool.create({host, port, maxConnections});
      for (let count = 0; count <= MAX_CONNECTIONS; count += 1) {
        expect(pool.acquire(0, 'r1').kind).toEqual('failed');
      }
      expect(pool.hasCapacity).toEqual(true);
    });
  }

  // Guards against IPv6 addresses that are taken for bad hosts.
  it('opens connections to an IPv6 address', () => {
    const options = {host: '::1', port: 9, maxConnections: () => 1};
    const pool = ServerPool.create(options);
    const acquired = pool.acquire(0, 'r1');
    expect(acquired.kind).toEqual('acquired');
    if (acquired.kind === 'acquired') pool.discard(acquired.connection);
  });
});

describe('request to a service with an odd address', () => {
  let scripted: ScriptedUpstream;
  afterEach(() => scripted.stop());

  function run(isIdempotent: boolean) {
    return scripted.upstream.run({
      route: 'reads',
      service: SERVICE,
      request: {
        requestId: 'r1',
        method: 'GET',
        target: '/a',
        headers: ['Host', 'shop.example', 'Request-Id', 'r1'],
        body: {kind: 'none'},
      },
      team: 'north',
      rank: 1,
      isIdempotent,
      maxAttempts: 1,
      targetLatencyMs: 1000,
      deadlineAtMs: performance.now() + 2000,
      abandoned: new AbortController().signal,
    });
  }

  // Guards against requests that fail because of one bad address in the list.
  for (const isIdempotent of [true, false]) {
    const kind = isIdempotent ? 'an idempotent' : 'a non-idempotent';
    it(`sends ${kind} request to another server and avoids the bad one`, async () => {
      scripted = await ScriptedUpstream.start([
        () => {},
        request => void request.socket.write(answerTo(request)),
      ]);
      scripted.entries[0]!.report.host = 'bad host';
      scripted.replace(0);
      const outcome = await run(isIdempotent);
      expect(outcome.kind).toEqual('answered');
      expect(
        outcome.attempts.map(({server, result}) => [server, result]),
      ).toEqual([
        ['s0', 'not-sent'],
        ['s1', 'answered'],
      ]);
      expect(scripted.failures.map(({serverId}) => serverId)).toEqual(['s0']);
    });
  }

  // Guards against an endless choice while no server can be reached.
  it('ends as not run when every address is bad', async () => {
    scripted = await ScriptedUpstream.start([() => {}, () => {}]);
    for (const index of [0, 1]) {
      scripted.entries[index]!.report.host = '%';
      scripted.replace(index);
    }
    expect((await run(true)).kind).toEqual('not-run');
  });
});
