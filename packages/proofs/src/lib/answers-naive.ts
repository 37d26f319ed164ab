/**
 * A naive proxy: removes the usual key header, sends each request to the next
 * server and passes on what it got of the answer as if it were whole.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Agent, request} from 'undici';

export class NaiveProxy {
  private next = 0;
  private readonly agent = new Agent();

  private constructor(
    private readonly ports: number[],
    private readonly server: Server,
  ) {}

  static async start(ports: number[]): Promise<NaiveProxy> {
    const server = createServer();
    const proxy = new NaiveProxy(ports, server);
    server.on('request', (from, to) => void proxy.forward(from, to));
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return proxy;
  }

  get url(): string {
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
    await this.agent.destroy();
  }

  private async forward(
    from: IncomingMessage,
    to: ServerResponse,
  ): Promise<void> {
    const port = this.ports[this.next++ % this.ports.length]!;
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(from.headers)) {
      if (name === 'authorization' || name === 'host') continue;
      if (name === 'connection' || name === 'transfer-encoding') continue;
      headers[name] = String(value);
    }
    const chunks: Buffer[] = [];
    try {
      const answer = await request(`http://127.0.0.1:${port}${from.url}`, {
        method: from.method === 'POST' ? 'POST' : 'GET',
        headers: {...headers, 'x-request-id': String(this.next)},
        body: from.method === 'POST' ? from : null,
        dispatcher: this.agent,
      });
      for await (const chunk of answer.body) chunks.push(chunk as Buffer);
      to.end(Buffer.concat(chunks));
    } catch {
      to.statusCode = chunks.length > 0 ? 200 : 502;
      to.end(Buffer.concat(chunks));
    }
  }
}
