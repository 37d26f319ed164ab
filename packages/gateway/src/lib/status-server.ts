/** A small HTTP server for fixed paths, such as readiness and metrics. */
import {createServer} from 'node:http';
import type {Server, ServerResponse} from 'node:http';

export interface StatusPage {
  status: number;
  contentType?: string;
  text?: string;
}

export interface StatusServerOptions {
  host: string;
  port: number;
  /** Page handlers by path; other paths get 404. */
  pages: Record<string, () => StatusPage | Promise<StatusPage>>;
}

export class StatusServer {
  private constructor(
    private readonly server: Server,
    private readonly options: StatusServerOptions,
  ) {}

  static create(options: StatusServerOptions): StatusServer {
    const server = createServer((request, response) => {
      const page = options.pages[request.url ?? ''];
      void writePage(response, page ?? (() => ({status: 404})));
    });
    return new StatusServer(server, options);
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

async function writePage(
  response: ServerResponse,
  page: () => StatusPage | Promise<StatusPage>,
): Promise<void> {
  try {
    const {status, contentType = 'text/plain', text = ''} = await page();
    response.writeHead(status, {
      'content-type': contentType,
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  } catch {
    // A failing page must not end the process; the 500 reports the failure.
    response.writeHead(500).end();
  }
}
