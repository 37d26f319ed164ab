/** Guards against malformed input that crashes the process or passes a check. */
import {expect} from 'earl';
import {connect} from 'node:net';
import type {Server} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {request} from 'undici';
import {
  KEY,
  fixedResponse,
  rawServer,
  startEntry,
} from '../testing/entry-fixture.js';
import type {EntryFixture} from '../testing/entry-fixture.js';

let entry: EntryFixture;
let backend: Server;
const receivedChunks: string[] = [];

before(async () => {
  const respond = fixedResponse('HTTP/1.1 200 OK\r\ncontent-length: 2', 'ok');
  const started = await rawServer(socket => {
    socket.on('data', data => receivedChunks.push(data.toString('latin1')));
    respond(socket);
  });
  backend = started.server;
  entry = await startEntry([started.port]);
});

after(async () => {
  await entry.close();
  backend.close();
});

/** Returns the refusal code of a request, or `ok`. */
async function fetchRefusalCode(
  path: string,
  options: {headers?: Record<string, string>; body?: string} = {},
): Promise<string> {
  const response = await request(`${entry.url}${path}`, {
    method: options.body === undefined ? 'GET' : 'POST',
    headers: {'x-api-key': KEY, ...options.headers},
    body: options.body ?? null,
  });
  const text = await response.body.text();
  return response.statusCode === 200 ? 'ok' : JSON.parse(text).code;
}

/** Sends raw bytes and returns the status line. */
async function sendRaw(bytes: string): Promise<string> {
  const socket = connect(entry.port, '127.0.0.1');
  socket.on('error', () => {});
  socket.write(bytes);
  const chunks: Buffer[] = [];
  for await (const chunk of socket) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('latin1').split('\r\n')[0]!;
}

describe('bad input', () => {
  it('is rejected when the path could escape its route', async () => {
    for (const path of [
      '/stock/../orders',
      '/stock/%2e%2e/a',
      '/stock/a%2fb',
    ]) {
      const head = `GET ${path} HTTP/1.1\r\nhost: a\r\nconnection: close`;
      const status = await sendRaw(`${head}\r\nx-api-key: ${KEY}\r\n\r\n`);
      expect(status).toEqual('HTTP/1.1 400 Bad Request');
    }
  });

  it('is rejected when the body exceeds the limit', async () => {
    const body = 'x'.repeat(1001);
    expect(await fetchRefusalCode('/orders', {body})).toEqual('body_too_large');
  });

  it('is rejected when the body contains the key, even across chunks', async () => {
    expect(await fetchRefusalCode('/stock/1', {body: `a ${KEY}`})).toEqual(
      'bad_request',
    );
    receivedChunks.length = 0;
    const chunk = 'x'.repeat(65_530);
    const body = `${chunk}${KEY}${chunk}${chunk}`;
    expect(await fetchRefusalCode('/stock/1', {body})).not.toEqual('ok');
    expect(receivedChunks.join('').includes('b'.repeat(48))).toEqual(false);
  });

  it('receives a 431 response when a header is too large', async () => {
    const status = await sendRaw(
      `GET /stock/1 HTTP/1.1\r\nhost: a\r\nx-a: ${'x'.repeat(40_000)}\r\n\r\n`,
    );
    expect(status.startsWith('HTTP/1.1 431')).toEqual(true);
  });

  it('receives a 400 response when the content length is malformed', async () => {
    const status = await sendRaw(
      'POST /stock/1 HTTP/1.1\r\nhost: a\r\ncontent-length: two\r\n\r\n',
    );
    expect(status.startsWith('HTTP/1.1 400')).toEqual(true);
  });

  it('is rejected when the team key is unknown', async () => {
    const headers = {'x-api-key': 'fft_unknown'};
    expect(await fetchRefusalCode('/stock/1', {headers})).toEqual(
      'key_unknown',
    );
  });

  it('does not stop the process from serving', async () => {
    expect(await fetchRefusalCode('/stock/1')).toEqual('ok');
  });
});
