/**
 * A TCP relay that simulates a one-way partition: it can stop forwarding in one
 * direction while the connections stay open.
 */
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

export interface OneWayRelayOptions {
  targetHost: string;
  targetPort: number;
}

export type RelayDirection = 'to-target' | 'to-client';

interface RelayPair {
  client: Socket;
  target: Socket;
}

export class OneWayRelay {
  private server: Server | undefined;
  private readonly pairs = new Set<RelayPair>();
  private readonly blockedDirections = new Set<RelayDirection>();

  private constructor(private readonly options: OneWayRelayOptions) {}

  static create(options: OneWayRelayOptions): OneWayRelay {
    return new OneWayRelay(options);
  }

  async start(port = 0): Promise<void> {
    this.server = createServer(client => this.connectClient(client));
    const {server} = this;
    await new Promise<void>(resolve => {
      server.listen(port, '127.0.0.1', resolve);
    });
  }

  port(): number {
    return (this.server!.address() as AddressInfo).port;
  }

  /** Stops forwarding in one direction, on current and new connections. */
  cut(direction: RelayDirection): void {
    this.blockedDirections.add(direction);
    for (const pair of this.pairs) sourceSocket(pair, direction).pause();
  }

  /** Resumes forwarding; bytes received meanwhile are delivered. */
  heal(direction: RelayDirection): void {
    this.blockedDirections.delete(direction);
    for (const pair of this.pairs) sourceSocket(pair, direction).resume();
  }

  async stop(): Promise<void> {
    for (const {client, target} of this.pairs) {
      client.destroy();
      target.destroy();
    }
    await new Promise<void>(resolve => this.server?.close(() => resolve()));
  }

  private connectClient(client: Socket): void {
    const {targetHost, targetPort} = this.options;
    const target = connect(targetPort, targetHost);
    const pair = {client, target};
    this.pairs.add(pair);
    this.forward(pair, 'to-target');
    this.forward(pair, 'to-client');
  }

  private forward(pair: RelayPair, direction: RelayDirection): void {
    const from = sourceSocket(pair, direction);
    const to = from === pair.client ? pair.target : pair.client;
    from.on('data', chunk => {
      if (to.write(chunk)) return;
      from.pause();
      to.once('drain', () => {
        if (!this.blockedDirections.has(direction)) from.resume();
      });
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      to.destroy();
      this.pairs.delete(pair);
    });
    if (this.blockedDirections.has(direction)) from.pause();
  }
}

function sourceSocket(pair: RelayPair, direction: RelayDirection): Socket {
  return direction === 'to-target' ? pair.client : pair.target;
}
