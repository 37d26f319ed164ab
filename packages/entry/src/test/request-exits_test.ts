/**
 * Guards against exits of the entry that end the connection of a whole request
 * without its answer, although the request was passed on.
 */
import {expect} from 'earl';
import type {Server, Socket} from 'node:net';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {KEY, rawServer, startEntry} from '../testing/entry-fixture.js';
import type {EntryFixture} from '../testing/entry-fixture.js';

const SLOW_MS = 400;

describe('answers of the entry on a connection with several requests', () => {
  let server: Server;
  let entry: EntryFixture;
  let socket: Socket;
  let received: string;
  let paths: string[];
  let closed: Promise<void>;

  beforeEach(async () => {
    received = '';
    paths = [];
    const backend = await rawServer(connection =>
      connection.on('data', chunk => {
        const path = /^\S+ (\S+)/.exec(String(chunk))?.[1] ?? '';
        paths.push(path);
        const body = `body of ${path}`;
        const head = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n`;
        const workMs = path.includes('slow') ? SLOW_MS : 20;
        setTimeout(() => connection.write(head + body), workMs);
      }),
    );
    server = backend.server;
    entry = await startEntry([backend.port]);
    socket = connect(entry.port, '127.0.0.1');
    socket.on('data', chunk => (received += String(chunk)));
    socket.on('error', () => {});
    closed = new Promise(resolve => socket.once('close', () => resolve()));
  });

  afterEach(async () => {
    socket.destroy();
    server.close();
    await entry.close();
  });

  function send(
    path: string,
    change: {method?: string; framing?: string} = {},
  ) {
    const {method = 'GET', framing = ''} = change;
    socket.write(
      `${method} ${path} HTTP/1.1\r\nHost: entry\r\nX-Api-Key: ${KEY}\r\n` +
        `${framing}\r\n`,
    );
  }

  async function waitForPath(path: string): Promise<void> {
    for (let count = 0; count < 100 && !paths.includes(path); count += 1) {
      await delay(10);
    }
  }

  // Its response closes the connection, so that the later answer is lost.
  it('passes on no request behind one that closes in a stop', async () => {
    entry.beginStop();
    send('/stock/slow');
    send('/stock/b');
    await Promise.race([closed, delay(3 * SLOW_MS)]);
    for (const path of paths) {
      expect(received.includes(`body of ${path}`)).toEqual(true);
    }
  });

  it('gives a running request its own answer if a malformed one follows', async () => {
    send('/stock/slow');
    await waitForPath('/stock/slow');
    send('/stock/b', {
      method: 'POST',
      framing: 'Transfer-Encoding: chunked\r\n\r\nno size\r\n',
    });
    await Promise.race([closed, delay(3 * SLOW_MS)]);
    expect(received.slice(9, 12)).toEqual('200');
    expect(received.includes('body of /stock/slow')).toEqual(true);
  });

  it('answers a running request that a CONNECT follows', async () => {
    send('/stock/slow');
    await waitForPath('/stock/slow');
    socket.write('CONNECT entry:80 HTTP/1.1\r\nHost: entry\r\n\r\n');
    await Promise.race([closed, delay(3 * SLOW_MS)]);
    expect(received.includes('body of /stock/slow')).toEqual(true);
  });

  // Node.js emits no `close` of a response that waits for an earlier one.
  it('counts no request whose caller has left', async () => {
    send('/stock/slow');
    send('/stock/b');
    await waitForPath('/stock/b');
    socket.destroy();
    await delay(2 * SLOW_MS);
    expect(entry.requestsInFlight()).toEqual(0);
  });
});
