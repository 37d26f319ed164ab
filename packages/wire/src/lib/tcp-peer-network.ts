/**
 * Peer network over TCP. One task per connection reads its frames, and one task
 * per known peer reconnects to it. Each pair of instances has one connection:
 * when both dial, the one dialed by the smaller instance id is kept.
 */
import type {Result} from '@fireflytrack/result';
import {toLogText} from '@fireflytrack/telemetry';
import type {Logger} from '@fireflytrack/telemetry';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {FrameError} from './frame-codec.js';
import {performHandshake} from './handshake.js';
import type {HandshakeRole} from './handshake.js';
import {PeerConnection} from './peer-connection.js';
import {DialTask} from './peer-dialer.js';
import type {PeerAddress, PeerDialer} from './peer-dialer.js';
import type {PeerError} from './peer-error.js';
import {peerFrameSchema} from './peer-frames.js';
import type {PeerFrame} from './peer-frames.js';
import type {
  MessageHandler,
  PeerIdentity,
  PeerNetwork,
  RequestHandler,
} from './peer-network.js';
import {PendingRequests} from './pending-requests.js';

export interface TcpPeerNetworkOptions {
  self: PeerIdentity;
  /** Address to listen on. */
  host: string;
  /** 0 chooses a free port. */
  port: number;
  /** Secret shared by all instances of the fleet; never sent. */
  fleetSecret: string;
  logger: Logger;
}

interface OpenPeer {
  identity: PeerIdentity;
  connection: PeerConnection;
  dialedBy: string;
  closed: Promise<void>;
  markClosed(): void;
}

/** An unauthenticated connection is closed after this time. */
const HANDSHAKE_TIMEOUT_MS = 3000;

export class TcpPeerNetwork implements PeerNetwork, PeerDialer {
  readonly self: PeerIdentity;
  /** Frames dropped because a peer had too many unsent bytes or was closing. */
  droppedFrames = 0;
  private readonly openPeers = new Map<string, OpenPeer>();
  private readonly unauthenticated = new Set<PeerConnection>();
  private readonly dialTasks = new Map<string, DialTask>();
  private readonly messageHandlers = new Map<string, MessageHandler[]>();
  private readonly requestHandlers = new Map<string, RequestHandler>();
  private readonly pending = new PendingRequests();
  private server: Server | undefined;
  private stopped = false;

  private constructor(private readonly options: TcpPeerNetworkOptions) {
    this.self = options.self;
  }

  static create(options: TcpPeerNetworkOptions): TcpPeerNetwork {
    return new TcpPeerNetwork(options);
  }

  /** Starts listening; rejects when the address is in use. */
  async start(): Promise<void> {
    const server = createServer(socket => {
      void this.runConnection(socket, 'listener');
    });
    this.server = server;
    const {host, port} = this.options;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    server.on('error', error => {
      this.options.logger.error('peer listener', {message: error.message});
    });
  }

  /** The port that this instance listens on. */
  get port(): number {
    return (this.server?.address() as AddressInfo).port;
  }

  async stop(): Promise<void> {
    this.stopped = true;
    for (const task of this.dialTasks.values()) task.stop();
    this.dialTasks.clear();
    for (const connection of this.unauthenticated) connection.destroy();
    for (const peer of this.openPeers.values()) peer.connection.flushAndClose();
    const {server} = this;
    if (server) await new Promise(resolve => server.close(resolve));
  }

  connectTo(address: PeerAddress): void {
    const {instanceId, host, port} = address;
    if (this.stopped || instanceId === this.self.instanceId) return;
    const known = this.dialTasks.get(instanceId);
    if (known?.address.host === host && known.address.port === port) return;
    known?.stop();
    const task = DialTask.create({
      address,
      whenDisconnected: () => this.whenDisconnected(instanceId),
      runConnection: socket => this.runConnection(socket, 'dialer', instanceId),
    });
    this.dialTasks.set(instanceId, task);
  }

  disconnect(instanceId: string): void {
    this.dialTasks.get(instanceId)?.stop();
    this.dialTasks.delete(instanceId);
    this.openPeers.get(instanceId)?.connection.flushAndClose();
  }

  wasRefused(instanceId: string): boolean {
    return this.dialTasks.get(instanceId)?.wasRefused ?? false;
  }

  peers(): readonly PeerIdentity[] {
    return [...this.openPeers.values()].map(peer => peer.identity);
  }

  send(instanceId: string, kind: string, payload: unknown): void {
    this.sendFrame(instanceId, {type: 'message', kind, payload});
  }

  broadcast(kind: string, payload: unknown): void {
    for (const instanceId of this.openPeers.keys()) {
      this.send(instanceId, kind, payload);
    }
  }

  request(
    instanceId: string,
    kind: string,
    payload: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    return this.pending.start(instanceId, timeoutMs, requestId =>
      this.sendFrame(instanceId, {type: 'request', requestId, kind, payload}),
    );
  }

  onMessage(kind: string, handler: MessageHandler): void {
    const handlers = this.messageHandlers.get(kind) ?? [];
    this.messageHandlers.set(kind, [...handlers, handler]);
  }

  onRequest(kind: string, handler: RequestHandler): void {
    this.requestHandlers.set(kind, handler);
  }

  /** Counts for the state dump. */
  state(): unknown {
    const peers = [...this.openPeers.values()].map(
      ({identity, connection}) => ({
        instanceId: identity.instanceId,
        unsentBytes: connection.unsentBytes,
      }),
    );
    const {droppedFrames} = this;
    return {peers, dialing: [...this.dialTasks.keys()], droppedFrames};
  }

  private async whenDisconnected(instanceId: string): Promise<void> {
    for (;;) {
      const peer = this.openPeers.get(instanceId);
      if (!peer) return;
      await peer.closed;
    }
  }

  private async runConnection(
    socket: Socket,
    role: HandshakeRole,
    expectedId?: string,
  ): Promise<void> {
    const connection = PeerConnection.create(socket);
    const {address} = connection;
    let peer: OpenPeer | undefined;
    try {
      const identity = await this.authenticate(connection, role);
      if (expectedId !== undefined && identity.instanceId !== expectedId) {
        throw new FrameError(`expected ${expectedId} at this address`);
      }
      peer = this.register(connection, identity, role);
      while (peer) this.handleFrame(peer, await connection.receive());
    } catch (error) {
      this.logConnectionEnd(error as Error, address, peer);
    }
    if (peer) this.unregister(peer);
    connection.destroy();
  }

  private async authenticate(
    connection: PeerConnection,
    role: HandshakeRole,
  ): Promise<PeerIdentity> {
    const {self, fleetSecret} = this.options;
    const timer = setTimeout(
      () => connection.destroy('no handshake in time'),
      HANDSHAKE_TIMEOUT_MS,
    );
    this.unauthenticated.add(connection);
    try {
      return await performHandshake(connection, self, role, fleetSecret);
    } finally {
      this.unauthenticated.delete(connection);
      clearTimeout(timer);
    }
  }

  /**
   * Registers the connection as the peer's only one. Returns undefined when an
   * existing connection takes precedence.
   */
  private register(
    connection: PeerConnection,
    identity: PeerIdentity,
    role: HandshakeRole,
  ): OpenPeer | undefined {
    const {instanceId} = identity;
    const ownId = this.self.instanceId;
    const dialedBy = role === 'dialer' ? ownId : instanceId;
    const smallerId = ownId < instanceId ? ownId : instanceId;
    const existing = this.openPeers.get(instanceId);
    if (this.stopped) return undefined;
    if (existing?.dialedBy === smallerId && dialedBy !== smallerId) {
      return undefined;
    }
    let markClosed = () => {};
    const closed = new Promise<void>(resolve => (markClosed = resolve));
    const peer = {identity, connection, dialedBy, closed, markClosed};
    this.openPeers.set(instanceId, peer);
    if (existing) existing.connection.flushAndClose();
    else this.options.logger.info('peer connected', {peer: instanceId});
    return peer;
  }

  private unregister(peer: OpenPeer): void {
    const {instanceId} = peer.identity;
    if (this.openPeers.get(instanceId) === peer) {
      this.openPeers.delete(instanceId);
      this.pending.failAll(instanceId);
    }
    peer.markClosed();
  }

  private handleFrame(peer: OpenPeer, value: unknown): void {
    const frame = peerFrameSchema.safeParse(value);
    if (!frame.success) throw new FrameError('malformed frame');
    const {data} = frame;
    if (data.type === 'message') {
      this.dispatchMessage(peer.identity, data.kind, data.payload);
    } else if (data.type === 'request') {
      void this.handleRequest(peer.identity, data);
    } else if (data.type === 'answer') {
      const {instanceId} = peer.identity;
      this.pending.settleByReply(
        instanceId,
        data.requestId,
        data.error,
        data.payload,
      );
    }
  }

  private dispatchMessage(
    from: PeerIdentity,
    kind: string,
    payload: unknown,
  ): void {
    for (const handler of this.messageHandlers.get(kind) ?? []) {
      try {
        handler(from, payload);
      } catch (error) {
        const message = toLogText(String(error));
        const fields = {peer: from.instanceId, kind, message};
        this.options.logger.warn('message handler failed', fields);
      }
    }
  }

  private async handleRequest(
    from: PeerIdentity,
    request: Extract<PeerFrame, {type: 'request'}>,
  ): Promise<void> {
    const {requestId, kind} = request;
    const reply = {type: 'answer' as const, requestId, payload: undefined};
    const handler = this.requestHandlers.get(kind);
    try {
      if (!handler) throw new Error(`no handler for ${kind}`);
      const payload = await handler(from, request.payload);
      this.sendFrame(from.instanceId, {...reply, payload});
    } catch (error) {
      const text = toLogText(String(error));
      this.sendFrame(from.instanceId, {...reply, error: text});
    }
  }

  private sendFrame(instanceId: string, frame: PeerFrame): boolean {
    const result = this.openPeers.get(instanceId)?.connection.send(frame);
    if (result === 'dropped') this.droppedFrames += 1;
    if (result === 'too-large') {
      const fields = {peer: instanceId, type: frame.type};
      this.options.logger.warn('frame over the size limit not sent', fields);
    }
    return result === 'sent';
  }

  private logConnectionEnd(
    error: Error,
    address: string,
    peer?: OpenPeer,
  ): void {
    if (this.stopped) return;
    const fields = {
      address,
      peer: peer?.identity.instanceId,
      reason: toLogText(error.message),
    };
    if (error instanceof FrameError) {
      this.options.logger.warn('peer connection closed', fields);
    } else {
      this.options.logger.info('peer connection ended', fields);
    }
  }
}
