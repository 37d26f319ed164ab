/**
 * A naive proxy: it removes only the usual key header, sends each request to
 * the next server and forwards even a truncated body as a complete response.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Agent, request} from 'undici';

export class NaiveProxy {
  private requestCount = 0;
  private readonly agent = new Agent();

  private constructor(
    private readonly ports: number[],
    private readonly server: Server,
  ) {}

  static async start(ports: number[]): Promise<NaiveProxy> {
    const server = createServer();
    const proxy = new NaiveProxy(ports, server);
    server.on(
      'request',
      (incoming, outgoing) => void proxy.forward(incoming, outgoing),
    );
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
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const port = this.ports[this.requestCount++ % this.ports.length]!;
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(incoming.headers)) {
      if (name === 'authorization' || name === 'host') continue;
      if (name === 'connection' || name === 'transfer-encoding') continue;
      headers[name] = String(value);
    }
    const chunks: Buffer[] = [];
    try {
      const upstreamResponse = await request(
        `http://127.0.0.1:${port}${incoming.url}`,
        {
          method: incoming.method === 'POST' ? 'POST' : 'GET',
          headers: {...headers, 'x-request-id': String(this.requestCount)},
          body: incoming.method === 'POST' ? incoming : null,
          dispatcher: this.agent,
        },
      );
      for await (const chunk of upstreamResponse.body)
        chunks.push(chunk as Buffer);
      outgoing.end(Buffer.concat(chunks));
    } catch {
      outgoing.statusCode = chunks.length > 0 ? 200 : 502;
      outgoing.end(Buffer.concat(chunks));
    }
  }
}
