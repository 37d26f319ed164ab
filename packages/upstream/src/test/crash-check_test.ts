/**
 * Guards against a crash that is taken for a broken answer, and against a broken
 * answer that is taken for a crash.
 */
import {expect} from 'earl';
import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import {describe, it} from 'node:test';
import {ConnectCheck} from '../lib/crash-check.js';

async function listen(): Promise<{server: Server; port: number}> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {server, port: (server.address() as AddressInfo).port};
}

describe('check whether a server is down', () => {
  const host = '127.0.0.1';

  it('finds a server that accepts connections to be up', async () => {
    const {server, port} = await listen();
    expect(await ConnectCheck.create().isDown({host, port})).toEqual(false);
    server.close();
  });

  it('finds a server that refuses connections to be down', async () => {
    const {server, port} = await listen();
    await new Promise(resolve => server.close(resolve));
    expect(await ConnectCheck.create().isDown({host, port})).toEqual(true);
  });

  // Guards against a process that accepts while it ends.
  it('finds a server that ends what it accepted to be down', async () => {
    const {server, port} = await listen();
    server.on('connection', socket => socket.destroy());
    expect(await ConnectCheck.create().isDown({host, port})).toEqual(true);
    server.close();
  });

  it('makes one check for all requests of one moment', async () => {
    const {server, port} = await listen();
    let connections = 0;
    server.on('connection', () => (connections += 1));
    const check = ConnectCheck.create();
    await Promise.all([1, 2, 3].map(() => check.isDown({host, port})));
    expect(connections).toEqual(1);
    server.close();
  });
});
