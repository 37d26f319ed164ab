/** A caller that sends bytes without end to the entry of a gateway. */
import {expect} from 'earl';
import {fork} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import type {EntryState} from './endless-entry.js';

const TIMEOUT_MS = 1000;
const CLOSE_WITHIN_MS = 2000;
const MAX_MEMORY_GROWTH_BYTES = 64 * 1024 * 1024;
const PIECE_BYTES = 65_536;
const ENTRY_FILE = fileURLToPath(new URL('endless-entry.js', import.meta.url));

/** Head of a request; `framing` holds further header lines. */
export function head(path: string, framing = ''): string {
  return (
    `POST ${path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n` +
    `${framing}\r\n`
  );
}

export interface EndlessRequest {
  start: string;
  piece: string;
  /** Statuses that are true of the request. */
  statuses: number[];
}

export class EndlessCaller {
  private readonly sockets: Socket[] = [];

  private constructor(
    private readonly entry: ChildProcess,
    private readonly port: number,
  ) {}

  /** Starts the entry of a gateway as a process. */
  static async start(): Promise<EndlessCaller> {
    const entry = fork(ENTRY_FILE, {execArgv: []});
    const [{port}] = (await once(entry, 'message')) as [EntryState];
    return new EndlessCaller(entry, port);
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets.splice(0)) socket.destroy();
    const ended = once(this.entry, 'exit');
    this.entry.disconnect();
    await ended;
  }

  /** Asks the entry for its open connections and its memory. */
  async readState(): Promise<EntryState> {
    const received = once(this.entry, 'message');
    this.entry.send('state');
    const [state] = (await received) as [EntryState];
    return state;
  }

  /** Checks that the request gets a true response and fills no memory. */
  async check(request: EndlessRequest): Promise<void> {
    const before = await this.readState();
    const received = this.sendWithoutEnd(request);
    await delay(100);
    const startedAtMs = performance.now();
    expect((await this.sendRequest()).slice(9, 12)).toEqual('200');
    expect(performance.now() - startedAtMs < TIMEOUT_MS).toEqual(true);
    const text = await received;
    const status = Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1]);
    expect(request.statuses.includes(status)).toEqual(true);
    this.sockets.at(-1)!.destroy();
    await delay(50);
    const after = await this.readState();
    expect(after.connections).toEqual(0);
    const growth = after.residentBytes - before.residentBytes;
    expect(growth < MAX_MEMORY_GROWTH_BYTES).toEqual(true);
  }

  /** Sends `piece` until the connection closes; returns what was received. */
  async sendWithoutEnd(request: EndlessRequest): Promise<string> {
    const socket = connect(this.port, '127.0.0.1');
    this.sockets.push(socket);
    const {start, piece} = request;
    const bytes = Buffer.from(
      piece.repeat(Math.ceil(PIECE_BYTES / piece.length)),
    );
    let received = '';
    socket.on('data', chunk => (received += String(chunk)));
    // A reset is how a connection with unread bytes ends.
    socket.on('error', () => {});
    const closed = new Promise<void>(resolve => socket.once('close', resolve));
    const more = () => {
      if (socket.destroyed) return;
      if (socket.write(bytes)) setImmediate(more);
      else socket.once('drain', () => setImmediate(more));
    };
    socket.write(start);
    more();
    await Promise.race([closed, delay(TIMEOUT_MS + CLOSE_WITHIN_MS)]);
    return received;
  }

  /** Returns what was received until the connection closed or for 2 s. */
  async sendText(text: string): Promise<string> {
    const socket = connect(this.port, '127.0.0.1');
    this.sockets.push(socket);
    let received = '';
    socket.on('data', chunk => (received += String(chunk)));
    socket.on('error', () => {});
    socket.write(text);
    const closed = new Promise<void>(resolve => socket.once('close', resolve));
    await Promise.race([closed, delay(CLOSE_WITHIN_MS)]);
    return received;
  }

  private sendRequest(): Promise<string> {
    return new Promise((resolve, reject) => {
      const socket = connect(this.port, '127.0.0.1');
      this.sockets.push(socket);
      socket.on('error', reject);
      socket.once('data', chunk => resolve(String(chunk)));
      socket.write(head('/reads/1', 'Content-Length: 0\r\n'));
    });
  }
}
