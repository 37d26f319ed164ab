/** A client on one connection; reads answers in the order of its requests. */
import {connect} from 'node:net';

export class Client {
  pending = [];
  data = Buffer.alloc(0);
  closed = false;

  constructor(host, port) {
    this.socket = connect({host, port, noDelay: true});
    this.connected = new Promise(resolve => {
      this.socket.once('connect', () => resolve(true));
      this.socket.once('close', () => resolve(false));
    });
    this.socket.on('error', () => {});
    this.socket.on('data', chunk => {
      this.data = Buffer.concat([this.data, chunk]);
      this.parse(false);
    });
    this.socket.on('close', () => {
      this.closed = true;
      this.parse(true);
      for (const request of this.pending.splice(0)) request.resolve({atMs: performance.now(), status: undefined, bytes: this.data.length});
    });
  }

  /** Sends one request; resolves with its answer, or without one at the close. */
  send({id, path, method = 'GET', host = 'shop.example', key, deadlineMs, headers = '', body}) {
    const lines = [`${method} ${path} HTTP/1.1`, `Host: ${host}`, `Request-Id: ${id}`];
    if (deadlineMs !== undefined) lines.push(`Request-Deadline-Ms: ${deadlineMs}`);
    if (key !== undefined) lines.push(`Authorization: Token ${key}`);
    if (body !== undefined) lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
    if (this.closed) return Promise.resolve({atMs: performance.now(), status: undefined, bytes: 0});
    const text = `${lines.join('\r\n')}\r\n${headers}\r\n${body ?? ''}`;
    const result = new Promise(resolve => this.pending.push({id, method, resolve}));
    this.socket.write(text);
    return result;
  }

  parse(ended) {
    for (;;) {
      const end = this.data.indexOf('\r\n\r\n');
      if (end < 0 || this.pending.length === 0) return;
      const head = this.data.subarray(0, end).toString('latin1');
      const [line, ...lines] = head.split('\r\n');
      const headers = {};
      for (const text of lines) {
        const colon = text.indexOf(':');
        headers[text.slice(0, colon).toLowerCase()] = text.slice(colon + 1).trim();
      }
      const status = Number(line.split(' ')[1]);
      if (status < 200) {
        this.data = this.data.subarray(end + 4);
        continue;
      }
      let body;
      let next;
      if (headers['transfer-encoding'] === 'chunked') {
        const parsed = parseChunks(this.data, end + 4);
        if (!parsed) return;
        ({body, next} = parsed);
      } else {
        const length = Number(headers['content-length'] ?? 0);
        next = end + 4 + length;
        if (this.data.length < next) return;
        body = this.data.subarray(end + 4, next);
      }
      this.data = this.data.subarray(next);
      const request = this.pending.shift();
      request.resolve({atMs: performance.now(), status, headers, body: body.toString('latin1'), line});
    }
  }

  close() {
    this.socket.destroy();
  }
}

function parseChunks(data, from) {
  const parts = [];
  let at = from;
  for (;;) {
    const lineEnd = data.indexOf('\r\n', at);
    if (lineEnd < 0) return undefined;
    const size = Number.parseInt(data.subarray(at, lineEnd).toString('latin1'), 16);
    const begin = lineEnd + 2;
    if (data.length < begin + size + 2) return undefined;
    if (size === 0) return {body: Buffer.concat(parts), next: begin + 2};
    parts.push(data.subarray(begin, begin + size));
    at = begin + size + 2;
  }
}
