/**
 * Stand-in of a target (PROTOCOL.md, "Targets"): one request at a time on a
 * connection; what it answers, and when, comes from `serve`.
 */
import {createServer} from 'node:net';

export class Target {
  sockets = new Set();

  /** `serve(request, socket)` gets each complete request. */
  static async start(host, id, serve) {
    const target = new Target();
    target.id = id;
    target.server = createServer({allowHalfOpen: false}, socket => target.accept(socket, serve));
    await new Promise(resolve => target.server.listen(0, host, resolve));
    target.host = host;
    target.port = target.server.address().port;
    return target;
  }

  stop() {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  entry(service, change = {}) {
    return {
      address: `${this.host}:${this.port}`,
      born: this.born ?? 1_790_000_000_000,
      info: {service, version: 'v1', zone: change.zone ?? 'nord-a', slots: 4},
      status: {state: change.state ?? 'ready', sequence: change.sequence ?? 1, warmup_left_ms: 0},
    };
  }

  accept(socket, serve) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.once('close', () => this.sockets.delete(socket));
    let data = Buffer.alloc(0);
    socket.on('data', chunk => {
      data = Buffer.concat([data, chunk]);
      for (;;) {
        const end = data.indexOf('\r\n\r\n');
        if (end < 0) return;
        const head = data.subarray(0, end).toString('latin1');
        const [line, ...lines] = head.split('\r\n');
        const headers = {};
        for (const text of lines) {
          const colon = text.indexOf(':');
          headers[text.slice(0, colon).toLowerCase()] = text.slice(colon + 1).trim();
        }
        const length = Number(headers['content-length'] ?? 0);
        if (data.length < end + 4 + length) return;
        const body = data.subarray(end + 4, end + 4 + length);
        data = data.subarray(end + 4 + length);
        const [method, path] = line.split(' ');
        serve({method, path, headers, body, id: headers['request-id'] ?? '', atMs: performance.now()}, socket);
      }
    });
  }
}

/** A complete answer to `request` in the target's own format. */
export function answer(request, {status = '200 OK', body = `body of ${request.id}`, headers = ''} = {}) {
  return (
    `HTTP/1.1 ${status}\r\nRequest-Id: ${request.id}\r\nResponse-Seal: seal-${request.id}\r\n` +
    `${headers}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
  );
}
