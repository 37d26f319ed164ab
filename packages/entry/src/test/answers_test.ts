/**
 * Guards against truncated, foreign or altered answers that look whole (P6)
 * and against false statements about what ran (P7).
 */
import {expect} from 'earl';
import type {Server, Socket} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {request} from 'undici';
import {KEY, fixedAnswer, rawServer, startEntry} from './entry-fixture.js';
import type {EntryFixture} from './entry-fixture.js';

const HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/plain';
const servers: Server[] = [];
let entry: EntryFixture;

async function start(...serve: ((socket: Socket) => void)[]): Promise<void> {
  const started = await Promise.all(serve.map(one => rawServer(one)));
  servers.push(...started.map(one => one.server));
  entry = await startEntry(started.map(one => one.port));
}

async function lookup(path = '/stock/1') {
  const answer = await request(`${entry.url}${path}`, {
    headers: {'x-api-key': KEY},
  });
  return {
    status: answer.statusCode,
    outcome: answer.headers['x-outcome'],
    body: await answer.body.text(),
  };
}

async function order(headers: Record<string, string> = {}) {
  const answer = await request(`${entry.url}/orders`, {
    method: 'POST',
    headers: {'x-api-key': KEY, ...headers},
    body: 'dolphin',
  });
  const body = (await answer.body.json()) as {code: string; outcome: string};
  return {status: answer.statusCode, ...body};
}

describe('answers of backend servers', () => {
  afterEach(async () => {
    await entry.close();
    for (const server of servers.splice(0)) server.close();
  });

  it('replaces a short answer by the whole answer of another server', async () => {
    const short = fixedAnswer(`${HEAD}\r\ncontent-length: 9`, 'part', true);
    const whole = fixedAnswer(`${HEAD}\r\ncontent-length: 5`, 'whole');
    await start(short, whole);
    for (let count = 0; count < 6; count += 1) {
      expect((await lookup()).body).toEqual('whole');
    }
  });

  it('breaks the connection when a streamed answer breaks off', async () => {
    const bytes = 'x'.repeat(200_000);
    const long = fixedAnswer(`${HEAD}\r\ncontent-length: 300000`, bytes, true);
    await start(long);
    await expect(lookup()).toBeRejected();
  });

  it('does not pass on an answer to another request', async () => {
    const head = `${HEAD}\r\nx-request-id: other\r\ncontent-length: 5`;
    await start(fixedAnswer(head, 'other'));
    const {status, outcome} = await lookup();
    expect({status, outcome}).toEqual({status: 502, outcome: 'unknown'});
  });

  it('does not pass on an answer whose digest does not match', async () => {
    const digest = 'content-digest: sha-256=:AAAA:';
    await start(fixedAnswer(`${HEAD}\r\n${digest}\r\ncontent-length: 1`, 'a'));
    expect((await lookup()).status).toEqual(502);
  });

  it('says that an order may have run when the connection breaks', async () => {
    let received = 0;
    await start(socket =>
      socket.on('data', () => {
        received += 1;
        socket.destroy();
      }),
    );
    const {code, outcome} = await order();
    expect({code, outcome}).toEqual({
      code: 'outcome_unknown',
      outcome: 'unknown',
    });
    expect(received).toEqual(1);
  });

  it('says that an order did not run when no server can be reached', async () => {
    await start(() => {});
    servers.splice(0).forEach(server => server.close());
    const {code, outcome} = await order();
    expect({code, outcome}).toEqual({code: 'no_server', outcome: 'not_run'});
  });

  it('lets an order be repeated after the server declined it', async () => {
    let requests = 0;
    await start(socket =>
      socket.on('data', () => {
        requests += 1;
        const declined = 'HTTP/1.1 503 No\r\nx-not-run: 1\r\nx-shed: 1';
        const head = requests === 1 ? declined : HEAD.replace('plain', 'json');
        const body = requests === 1 ? '' : '{"code":"done","outcome":"ran"}';
        socket.write(
          `${head}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
        );
      }),
    );
    const headers = {'idempotency-key': 'order-1'};
    expect((await order(headers)).outcome).toEqual('not_run');
    expect((await order(headers)).code).toEqual('done');
    expect((await order(headers)).code).toEqual('done');
    expect(requests).toEqual(2);
  });
});
