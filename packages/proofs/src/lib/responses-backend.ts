/**
 * A backend server on raw sockets whose responses have seeded faults: truncated
 * or altered bodies, broken connections, responses to other requests and late
 * responses.
 */
import {rawServer} from '@fireflytrack/entry/testing';
import {createHash} from 'node:crypto';
import type {Server, Socket} from 'node:net';
import type {History} from './history.js';

export type ResponseFault =
  | 'none'
  | 'short'
  | 'foreign'
  | 'altered'
  | 'late'
  | 'broken';

export interface FaultyBackendOptions {
  name: string;
  history: History;
  /** Returns the fault of the next response. */
  nextFault(): ResponseFault;
}

const LATE_RESPONSE_DELAY_MS = 120;
const REQUEST = /^(?:GET|POST) (\S+) HTTP/;
const REQUEST_ID = /x-request-id: (\S+)/i;

/** Returns the complete body for a target; long if the target holds "large". */
export function expectedBody(target: string): string {
  const copies = target.includes('large') ? 20_000 : 4;
  return `answer to ${target};`.repeat(copies);
}

export class FaultyBackend {
  private constructor(
    private readonly server: Server,
    readonly port: number,
  ) {}

  static async start(options: FaultyBackendOptions): Promise<FaultyBackend> {
    const {server, port} = await rawServer(socket => {
      socket.on('data', data => {
        const text = data.toString('latin1');
        options.history.record(options.name, 'received', '', text);
        if (REQUEST.test(text)) respond(socket, text, options.nextFault());
      });
    });
    return new FaultyBackend(server, port);
  }

  stop(): void {
    this.server.close();
  }
}

function respond(socket: Socket, request: string, fault: ResponseFault): void {
  if (fault === 'broken') {
    socket.destroy();
    return;
  }
  const target = REQUEST.exec(request)![1]!;
  const requestId = REQUEST_ID.exec(request)?.[1] ?? '';
  const completeBody = Buffer.from(expectedBody(target));
  const digest = createHash('sha256').update(completeBody).digest('base64');
  const echoedId = fault === 'foreign' ? `${requestId}-other` : requestId;
  const head =
    'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n' +
    `x-request-id: ${echoedId}\r\ncontent-digest: sha-256=:${digest}:\r\n` +
    `content-length: ${completeBody.length}\r\n\r\n`;
  const body = applyBodyFault(completeBody, target, fault);
  const sendResponse = () => {
    if (socket.destroyed) return;
    socket.write(head);
    socket.write(body);
    if (fault === 'short') socket.end();
  };
  if (fault === 'late') setTimeout(sendResponse, LATE_RESPONSE_DELAY_MS);
  else sendResponse();
}

function applyBodyFault(
  completeBody: Buffer,
  target: string,
  fault: ResponseFault,
): Buffer {
  if (fault === 'short')
    return completeBody.subarray(0, completeBody.length - 3);
  if (fault === 'foreign') {
    return Buffer.from(expectedBody(`${target}-other`)).subarray(
      0,
      completeBody.length,
    );
  }
  if (fault !== 'altered') return completeBody;
  const altered = Buffer.from(completeBody);
  altered[altered.length - 1] = 0x21;
  return altered;
}
