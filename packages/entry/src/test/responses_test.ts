/**
 * Guards against forwarding truncated, altered or mismatched responses as valid
 * (P6) and against wrong reports of whether a request ran (P7).
 */
import {expect} from 'earl';
import type {Server, Socket} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {request} from 'undici';
import {
  KEY,
  fixedResponse,
  rawServer,
  startEntry,
} from '../testing/entry-fixture.js';
import type {EntryFixture} from '../testing/entry-fixture.js';

const OK_HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/plain';
const servers: Server[] = [];
let entry: EntryFixture;

async function startEntryForBackends(
  ...handlers: ((socket: Socket) => void)[]
): Promise<void> {
  const started = await Promise.all(
    handlers.map(handler => rawServer(handler)),
  );
  servers.push(...started.map(backend => backend.server));
  entry = await startEntry(started.map(backend => backend.port));
}

async function requestLookup(path = '/stock/1') {
  const response = await request(`${entry.url}${path}`, {
    headers: {'x-api-key': KEY},
  });
  return {
    status: response.statusCode,
    outcome: response.headers['x-outcome'],
    body: await response.body.text(),
  };
}

async function requestOrder(headers: Record<string, string> = {}) {
  const response = await request(`${entry.url}/orders`, {
    method: 'POST',
    headers: {'x-api-key': KEY, ...headers},
    body: 'dolphin',
  });
  const body = (await response.body.json()) as {code: string; outcome: string};
  return {status: response.statusCode, ...body};
}

describe('responses of backend servers', () => {
  afterEach(async () => {
    await entry.close();
    for (const server of servers.splice(0)) server.close();
  });

  it('retries on another server after a truncated response', async () => {
    const truncated = fixedResponse(
      `${OK_HEAD}\r\ncontent-length: 9`,
      'part',
      true,
    );
    const complete = fixedResponse(`${OK_HEAD}\r\ncontent-length: 5`, 'valid');
    await startEntryForBackends(truncated, complete);
    for (let count = 0; count < 6; count += 1) {
      expect((await requestLookup()).body).toEqual('valid');
    }
  });

  it('closes the connection when a streamed response is truncated', async () => {
    const partialBody = 'x'.repeat(200_000);
    const truncated = fixedResponse(
      `${OK_HEAD}\r\ncontent-length: 300000`,
      partialBody,
      true,
    );
    await startEntryForBackends(truncated);
    await expect(requestLookup()).toBeRejected();
  });

  it('does not forward a response that belongs to another request', async () => {
    const head = `${OK_HEAD}\r\nx-request-id: other\r\ncontent-length: 5`;
    await startEntryForBackends(fixedResponse(head, 'other'));
    const {status, outcome} = await requestLookup();
    expect({status, outcome}).toEqual({status: 502, outcome: 'unknown'});
  });

  it('does not forward a response whose digest does not match', async () => {
    const digest = 'content-digest: sha-256=:AAAA:';
    await startEntryForBackends(
      fixedResponse(`${OK_HEAD}\r\n${digest}\r\ncontent-length: 1`, 'a'),
    );
    expect((await requestLookup()).status).toEqual(502);
  });

  it('reports an unknown outcome when the connection is lost', async () => {
    let received = 0;
    await startEntryForBackends(socket =>
      socket.on('data', () => {
        received += 1;
        socket.destroy();
      }),
    );
    const {code, outcome} = await requestOrder();
    expect({code, outcome}).toEqual({
      code: 'outcome_unknown',
      outcome: 'unknown',
    });
    expect(received).toEqual(1);
  });

  it('reports that a request did not run when no server is reachable', async () => {
    await startEntryForBackends(() => {});
    servers.splice(0).forEach(server => server.close());
    const {code, outcome} = await requestOrder();
    expect({code, outcome}).toEqual({code: 'no_server', outcome: 'not_run'});
  });

  it('allows a retry with the same key after a server declined the request', async () => {
    let requests = 0;
    await startEntryForBackends(socket =>
      socket.on('data', () => {
        requests += 1;
        const declined = 'HTTP/1.1 503 No\r\nx-not-run: 1\r\nx-shed: 1';
        const head =
          requests === 1 ? declined : OK_HEAD.replace('plain', 'json');
        const body = requests === 1 ? '' : '{"code":"done","outcome":"ran"}';
        socket.write(
          `${head}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
        );
      }),
    );
    const headers = {'idempotency-key': 'order-1'};
    expect((await requestOrder(headers)).outcome).toEqual('not_run');
    expect((await requestOrder(headers)).code).toEqual('done');
    expect((await requestOrder(headers)).code).toEqual('done');
    expect(requests).toEqual(2);
  });
});
