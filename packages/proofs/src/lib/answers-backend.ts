/**
 * A backend server that answers with seeded faults, over raw sockets: short
 * bodies, broken connections, answers to other requests, late answers.
 */
import {rawServer} from '@fireflytrack/entry/testing';
import {createHash} from 'node:crypto';
import type {Server, Socket} from 'node:net';
import type {History} from './history.js';

export type AnswerFault =
  | 'none'
  | 'short'
  | 'foreign'
  | 'altered'
  | 'late'
  | 'broken';

export interface AnswersBackendOptions {
  name: string;
  history: History;
  /** The fault of the next answer. */
  nextFault(): AnswerFault;
}

const LATE_MS = 120;
const REQUEST = /^(?:GET|POST) (\S+) HTTP/;
const REQUEST_ID = /x-request-id: (\S+)/i;

/** The whole answer to a target; large for targets that ask for it. */
export function expectedBody(target: string): string {
  const repeats = target.includes('large') ? 20_000 : 4;
  return `answer to ${target};`.repeat(repeats);
}

export class AnswersBackend {
  private constructor(
    private readonly server: Server,
    readonly port: number,
  ) {}

  static async start(options: AnswersBackendOptions): Promise<AnswersBackend> {
    const {server, port} = await rawServer(socket => {
      socket.on('data', data => {
        const text = data.toString('latin1');
        options.history.record(options.name, 'received', '', text);
        if (REQUEST.test(text)) answer(socket, text, options.nextFault());
      });
    });
    return new AnswersBackend(server, port);
  }

  stop(): void {
    this.server.close();
  }
}

function answer(socket: Socket, request: string, fault: AnswerFault): void {
  if (fault === 'broken') {
    socket.destroy();
    return;
  }
  const target = REQUEST.exec(request)![1]!;
  const requestId = REQUEST_ID.exec(request)?.[1] ?? '';
  const whole = Buffer.from(expectedBody(target));
  const digest = createHash('sha256').update(whole).digest('base64');
  const echoed = fault === 'foreign' ? `${requestId}-other` : requestId;
  const head =
    'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n' +
    `x-request-id: ${echoed}\r\ncontent-digest: sha-256=:${digest}:\r\n` +
    `content-length: ${whole.length}\r\n\r\n`;
  const body = bodyOf(whole, target, fault);
  const send = () => {
    if (socket.destroyed) return;
    socket.write(head);
    socket.write(body);
    if (fault === 'short') socket.end();
  };
  if (fault === 'late') setTimeout(send, LATE_MS);
  else send();
}

function bodyOf(whole: Buffer, target: string, fault: AnswerFault): Buffer {
  if (fault === 'short') return whole.subarray(0, whole.length - 3);
  if (fault === 'foreign') {
    return Buffer.from(expectedBody(`${target}-other`)).subarray(
      0,
      whole.length,
    );
  }
  if (fault !== 'altered') return whole;
  const altered = Buffer.from(whole);
  altered[altered.length - 1] = 0x21;
  return altered;
}
