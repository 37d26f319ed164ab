/**
 * A backend server for tests that sends raw bytes from a script, so that it can
 * misbehave in ways that an HTTP library does not allow.
 */
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

export interface ReceivedRequest {
  head: string;
  requestId: string;
  socket: Socket;
}

export type Script = (request: ReceivedRequest) => void;

const HEAD_END = '\r\n\r\n';

export class ScriptedServer {
  readonly received: ReceivedRequest[] = [];
  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly script: Script,
  ) {
    server.on('connection', socket => this.accept(socket));
  }

  static async start(script: Script): Promise<ScriptedServer> {
    const scripted = new ScriptedServer(createServer(), script);
    await new Promise<void>(resolve =>
      scripted.server.listen(0, '127.0.0.1', resolve),
    );
    return scripted;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  get connections(): number {
    return this.sockets.size;
  }

  stop(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.once('close', () => this.sockets.delete(socket));
    let buffered = '';
    socket.on('data', chunk => {
      buffered += chunk.toString('latin1');
      let end = buffered.indexOf(HEAD_END);
      while (end >= 0) {
        const head = buffered.slice(0, end);
        buffered = buffered.slice(end + HEAD_END.length);
        const requestId = /request-id: (\S+)/i.exec(head)?.[1] ?? '';
        const request = {head, requestId, socket};
        this.received.push(request);
        this.script(request);
        end = buffered.indexOf(HEAD_END);
      }
    });
  }
}

/** Builds a complete response to `request`; `change` overrides its parts. */
export function answerTo(
  request: ReceivedRequest,
  change: {status?: string; id?: string; headers?: string; body?: string} = {},
): string {
  const {status = '200 OK', id = request.requestId, body = 'answer'} = change;
  const headers = change.headers ?? 'Signature: good\r\n';
  return (
    `HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\n${headers}` +
    `Content-Length: ${body.length}\r\n\r\n${body}`
  );
}
