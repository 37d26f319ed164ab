/** Guards against odd frames of peers that know the secret of the fleet. */
import {createLogger} from '@fireflytrack/telemetry';
import {expect} from 'earl';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {performHandshake} from '../lib/handshake.js';
import {PeerConnection} from '../lib/peer-connection.js';
import {TcpPeerNetwork} from '../lib/tcp-peer-network.js';

const HOST = '127.0.0.1';
const SECRET = 'secret shared by the fleet';
const HUGE = `odd\u{1b}[2J${'x'.repeat(2_000_000)}`;

describe('peer that sends odd frames', {timeout: 20_000}, () => {
  const lines: string[] = [];
  const logger = createLogger({level: 'info', silent: true});
  logger.warn = ((message: string, fields: object) => {
    lines.push(`${message} ${Object.values(fields).join(' ')}`);
    return logger;
  }) as typeof logger.warn;
  let network: TcpPeerNetwork;
  let socket: Socket;
  let peer: PeerConnection;

  beforeEach(async () => {
    lines.length = 0;
    const self = {instanceId: 'a', availabilityZone: 'z', region: 'r'};
    const options = {self, host: HOST, port: 0, fleetSecret: SECRET, logger};
    network = TcpPeerNetwork.create(options);
    await network.start();
    socket = connect({host: HOST, port: network.port});
    await once(socket, 'connect');
    peer = PeerConnection.create(socket);
    const identity = {instanceId: 'b', availabilityZone: 'z', region: 'r'};
    await performHandshake(peer, identity, 'dialer', SECRET);
  });
  afterEach(async () => {
    peer.destroy();
    await network.stop();
  });

  // Guards against log lines of any length, and against a lost connection.
  it('costs one bounded log line when a handler fails', async () => {
    network.onMessage('odd', () => {
      throw new Error(HUGE);
    });
    peer.send({type: 'message', kind: 'odd', payload: 1});
    await delay(200);
    expect(lines.length).toEqual(1);
    expect(lines[0]!.length < 1000).toEqual(true);
    expect(/\p{Cc}/u.test(lines[0]!)).toEqual(false);
    expect(network.peers().length).toEqual(1);
  });

  // Guards against requests that get no reply because the error fits no frame.
  it('gets a bounded error when a handler fails', async () => {
    network.onRequest('odd', () => {
      throw new Error(HUGE);
    });
    peer.send({type: 'request', requestId: 1, kind: 'odd', payload: 1});
    const reply = (await peer.receive()) as {error: string};
    expect(reply.error.length < 1000).toEqual(true);
    expect(lines).toEqual([]);
  });

  // Guards against a process that runs out of stack.
  it('loses only its connection for 200,000 levels', async () => {
    const levels = 200_000;
    const frame = Buffer.alloc(4 + levels, 0x81);
    frame.writeUInt32BE(levels, 0);
    socket.write(frame);
    await once(socket, 'close');
    await delay(50);
    expect(network.peers().length).toEqual(0);
    expect(lines.length).toEqual(1);
  });
});
