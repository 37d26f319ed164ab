/** Guards the peer protocol against hostile, stalled and unauthenticated peers. */
import {createLogger} from '@fireflytrack/telemetry';
import {expect} from 'earl';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {encodeFrame} from '../lib/frame-codec.js';
import {performHandshake} from '../lib/handshake.js';
import {PeerConnection} from '../lib/peer-connection.js';
import {TcpPeerNetwork} from '../lib/tcp-peer-network.js';

const HOST = '127.0.0.1';
const SECRET = 'secret shared by the fleet';
const cleanups: Array<() => unknown> = [];

async function startNetwork(instanceId: string, fleetSecret = SECRET) {
  const lines: string[] = [];
  const logger = createLogger({level: 'info', silent: true});
  logger.warn = ((message: string, fields: {reason?: string}) => {
    lines.push(`${message}: ${fields.reason}`);
    return logger;
  }) as typeof logger.warn;
  const self = {instanceId, availabilityZone: 'z1', region: 'r1'};
  const options = {self, host: HOST, port: 0, fleetSecret, logger};
  const network = TcpPeerNetwork.create(options);
  await network.start();
  cleanups.push(() => network.stop());
  return {network, lines};
}

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5));
}

function dial(from: TcpPeerNetwork, to: TcpPeerNetwork): void {
  const {instanceId} = to.self;
  from.connectTo({instanceId, host: HOST, port: to.port});
}

async function connectRawSocket(network: TcpPeerNetwork): Promise<Socket> {
  const socket = connect({host: HOST, port: network.port});
  socket.on('error', () => {});
  cleanups.push(() => socket.destroy());
  await once(socket, 'connect');
  return socket.resume();
}

const hello = (version: number) => ({
  type: 'hello',
  version,
  identity: {instanceId: 'x', availabilityZone: 'z', region: 'r'},
  nonce: Buffer.alloc(32),
});

describe('TcpPeerNetwork', {timeout: 20_000}, () => {
  afterEach(async () => {
    for (const cleanup of cleanups.splice(0)) await cleanup();
  });

  it('keeps one connection when both sides dial', async () => {
    const a = (await startNetwork('a')).network;
    const b = (await startNetwork('b')).network;
    dial(a, b);
    dial(b, a);
    await waitFor(() => a.peers().length === 1 && b.peers().length === 1);
    expect(a.peers()[0]?.instanceId).toEqual('b');
    b.onRequest('double', (_, payload) => Number(payload) * 2);
    const reply = await a.request('b', 'double', 21, 1000);
    expect(reply.unwrap()).toEqual(42);
  });

  it('returns an error for failed, slow and disconnected peers', async () => {
    const a = (await startNetwork('a')).network;
    const b = (await startNetwork('b')).network;
    dial(b, a);
    await waitFor(() => a.peers().length === 1 && b.peers().length === 1);
    const rejected = await a.request('b', 'nothing', 1, 1000);
    expect(rejected.err && rejected.val.kind).toEqual('rejected');
    const unreachable = await a.request('c', 'nothing', 1, 1000);
    expect(unreachable.err && unreachable.val.kind).toEqual('unreachable');
    b.onRequest('stall', () => new Promise(() => {}));
    const late = await a.request('b', 'stall', 1, 30);
    expect(late.err && late.val.kind).toEqual('timeout');
    const pending = a.request('b', 'stall', 1, 10_000);
    await b.stop();
    const lost = await pending;
    expect(lost.err && lost.val.kind).toEqual('timeout');
  });

  it('reconnects to a restarted instance', async () => {
    const a = (await startNetwork('a')).network;
    const first = (await startNetwork('b')).network;
    const {port} = first;
    dial(a, first);
    await waitFor(() => a.peers().length === 1);
    await first.stop();
    await waitFor(() => a.peers().length === 0);
    const logger = createLogger({level: 'info', silent: true});
    const {self} = first;
    const options = {self, host: HOST, port, fleetSecret: SECRET, logger};
    const second = TcpPeerNetwork.create(options);
    await second.start();
    cleanups.push(() => second.stop());
    await waitFor(() => a.peers().length === 1 && second.peers().length === 1);
  });

  it('rejects a peer with a different fleet secret', async () => {
    const {network: a, lines} = await startNetwork('a');
    const b = (await startNetwork('b', 'another secret')).network;
    dial(b, a);
    await waitFor(() => lines.length > 0);
    expect(lines[0]).toEqual(
      'peer connection closed: the peer does not know the fleet secret',
    );
    expect([a.peers().length, b.peers().length]).toEqual([0, 0]);
  });

  const oversize = Buffer.from([0xff, 0xff, 0xff, 0xff, 0]);
  const notCbor = Buffer.from([0, 0, 0, 2, 0x5b, 0xff]);
  const invalidFirstFrames: Array<[string, Buffer, RegExp]> = [
    ['oversize', oversize, /over the limit/],
    ['not CBOR', notCbor, /not CBOR/],
    ['truncated', Buffer.from([0, 0, 0, 9, 1]), /truncated/],
    ['malformed', encodeFrame({type: 'hello'})!, /malformed hello/],
    ['other version', encodeFrame(hello(2))!, /version 2 is not/],
  ];
  for (const [name, bytes, reason] of invalidFirstFrames) {
    it(`closes only the connection that sends a ${name} frame`, async () => {
      const {network: a, lines} = await startNetwork('a');
      const b = (await startNetwork('b')).network;
      dial(b, a);
      await waitFor(() => a.peers().length === 1);
      const socket = await connectRawSocket(a);
      const closed = once(socket, 'close');
      if (name === 'truncated') socket.end(bytes);
      else socket.write(bytes);
      await closed;
      await waitFor(() => lines.length > 0);
      expect(lines.length).toEqual(1);
      expect(reason.test(lines[0]!)).toEqual(true);
      expect(a.peers().length).toEqual(1);
    });
  }

  it('closes the connection of an authenticated peer on a malformed frame', async () => {
    const {network: a, lines} = await startNetwork('a');
    const b = (await startNetwork('b')).network;
    dial(b, a);
    const connection = PeerConnection.create(
      connect({host: HOST, port: a.port}),
    );
    cleanups.push(() => connection.destroy());
    const self = {instanceId: 'c', availabilityZone: 'z', region: 'r'};
    await performHandshake(connection, self, 'dialer', SECRET);
    await waitFor(() => a.peers().length === 2);
    connection.send({type: 'request', requestId: 'not a number'});
    await waitFor(() => lines.length > 0);
    expect(lines).toEqual(['peer connection closed: malformed frame']);
    expect(a.peers().map(peer => peer.instanceId)).toEqual(['b']);
  });

  it('closes a connection that does not start the handshake', async () => {
    const {network: a, lines} = await startNetwork('a');
    const socket = await connectRawSocket(a);
    await once(socket, 'close');
    await waitFor(() => lines.length > 0);
    expect(lines).toEqual(['peer connection closed: no handshake in time']);
  });

  it('bounds the unsent bytes of a peer that stops reading', async () => {
    const a = (await startNetwork('a')).network;
    const b = (await startNetwork('b')).network;
    // Forwards the handshake, then stops reading from `a`.
    const relay = createServer(inner => {
      const outer = connect({host: HOST, port: b.port});
      for (const socket of [inner, outer]) socket.on('error', () => {});
      inner.pipe(outer).pipe(inner);
      cleanups.push(() => [inner.destroy(), outer.destroy()]);
      void waitFor(() => a.peers().length === 1).then(() => {
        inner.unpipe(outer);
        inner.pause();
      });
    });
    relay.listen(0, HOST);
    await once(relay, 'listening');
    cleanups.push(() => relay.close());
    const {port} = relay.address() as AddressInfo;
    a.connectTo({instanceId: 'b', host: HOST, port});
    await waitFor(() => a.peers().length === 1);
    const payload = Buffer.alloc(500_000);
    for (let round = 0; round < 60 && a.droppedFrames === 0; round += 1) {
      a.send('b', 'bulk', payload);
      await new Promise(resolve => setImmediate(resolve));
    }
    expect(a.droppedFrames > 0).toEqual(true);
    const refused = await a.request('b', 'bulk', payload, 1000);
    expect(refused.err && refused.val.kind).toEqual('unreachable');
  });

  it('sends all frames of one tick in order', async () => {
    const a = (await startNetwork('a')).network;
    const b = (await startNetwork('b')).network;
    dial(a, b);
    await waitFor(() => a.peers().length === 1 && b.peers().length === 1);
    const received: unknown[] = [];
    b.onMessage('count', (_, payload) => received.push(payload));
    for (let index = 0; index < 100; index += 1) a.broadcast('count', index);
    await waitFor(() => received.length === 100);
    expect(received).toEqual(Array.from({length: 100}, (_, index) => index));
  });
});
