/** Tells the balancer whether this process wants new connections. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';

export interface ReadyServerOptions {
  host: string;
  port: number;
  path: string;
  isReady(): boolean;
}

export class ReadyServer {
  private constructor(
    private readonly server: Server,
    private readonly options: ReadyServerOptions,
  ) {}

  static create(options: ReadyServerOptions): ReadyServer {
    const server = createServer((request, response) => {
      const known = request.url === options.path;
      const status = !known ? 404 : options.isReady() ? 200 : 503;
      response.writeHead(status, {'content-length': '0'});
      response.end();
    });
    return new ReadyServer(server, options);
  }

  start(): Promise<void> {
    const {host, port} = this.options;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve());
    });
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
