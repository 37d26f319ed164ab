/** Helpers of the HTTP servers of the stand-ins. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

export type HttpHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/**
 * Listens on loopback; port 0 takes a free port. A handler that rejects closes
 * its connection without a response.
 */
export async function listen(
  handler: HttpHandler,
  port: number,
): Promise<Server> {
  const server = createServer((request, response) => {
    handler(request, response).catch(() => response.destroy());
  });
  await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve));
  return server;
}

export function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Stops listening and closes every connection, also those in use. */
export async function closeServer(server: Server): Promise<void> {
  const closed = new Promise<void>(resolve => server.close(() => resolve()));
  server.closeAllConnections();
  await closed;
}
