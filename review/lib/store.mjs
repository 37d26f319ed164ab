/**
 * Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata
 * store"): versioned rows, atomic conditional transactions, long-polled feeds.
 */
import {createServer} from 'node:http';

export class Store {
  /** Milliseconds that a transaction takes. */
  txMs = 5;
  version = 0;
  rows = new Map();
  waiters = new Set();

  static async start(host) {
    const store = new Store();
    store.server = createServer((request, response) => {
      store.respond(request, response).catch(() => response.destroy());
    });
    await new Promise(resolve => store.server.listen(0, host, resolve));
    store.host = host;
    store.port = store.server.address().port;
    return store;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes as the operator or a target does; returns once acknowledged. */
  put(table, key, json) {
    const value = Buffer.from(JSON.stringify(json)).toString('base64');
    this.set({table, part: '', key, value});
    this.wake();
  }

  remove(table, key) {
    this.set({table, part: '', key, removed: true});
    this.wake();
  }

  value(table, key) {
    const row = this.rows.get(`${table}\n${key}`);
    if (!row || row.removed) return undefined;
    return JSON.parse(Buffer.from(row.value, 'base64').toString());
  }

  set(row) {
    this.version += 1;
    this.rows.set(`${row.table}\n${row.key}`, {...row, ver: this.version});
  }

  wake() {
    for (const wake of [...this.waiters]) wake();
  }

  async respond(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const table = query.get('table');
    let result = [404, {}];
    if (url.pathname === '/v1/rows-tx') {
      await new Promise(resolve => setTimeout(resolve, this.txMs));
      result = this.transact(JSON.parse(Buffer.concat(chunks).toString()));
    } else if (url.pathname === '/v1/rows-get') {
      result = this.read(table, query);
    } else if (url.pathname === '/v1/rows-feed') {
      result = await this.feed(table, query);
    }
    response.writeHead(result[0], {'content-type': 'application/json'});
    response.end(JSON.stringify(result[1]));
  }

  page(rows, truncated = false) {
    return [200, {rows, truncated, ver: this.version, now_ms: Math.round(performance.now())}];
  }

  read(table, query) {
    const from = query.get('from') ?? '';
    const limit = Number(query.get('limit') ?? 500);
    const rows = [...this.rows.values()]
      .filter(row => row.table === table && !row.removed && row.key >= from)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return this.page(rows.slice(0, limit), rows.length > limit);
  }

  async feed(table, query) {
    const after = Number(query.get('after'));
    const changes = () =>
      [...this.rows.values()]
        .filter(row => row.table === table && row.ver > after)
        .sort((a, b) => a.ver - b.ver);
    const untilMs = performance.now() + Number(query.get('wait_ms'));
    while (changes().length === 0 && performance.now() < untilMs) {
      await new Promise(resolve => {
        const done = () => {
          clearTimeout(timer);
          this.waiters.delete(done);
          resolve();
        };
        const timer = setTimeout(done, untilMs - performance.now() + 1);
        this.waiters.add(done);
      });
    }
    return this.page(changes());
  }

  transact({expected_rev = [], set_keys = [], remove = []}) {
    const find = ({table, key}) => {
      const row = this.rows.get(`${table}\n${key}`);
      return row && !row.removed ? row : undefined;
    };
    if (expected_rev.some(row => (find(row)?.ver ?? 0) !== row.ver)) {
      const rows = expected_rev.map(find).filter(Boolean);
      return [412, {rows, ver: this.version, now_ms: 0}];
    }
    // All rows of a transaction get one version.
    const version = this.version + 1;
    for (const {table, key, value} of set_keys) {
      this.rows.set(`${table}\n${key}`, {table, part: '', key, value, ver: version});
    }
    for (const {table, key} of remove) {
      this.rows.set(`${table}\n${key}`, {table, part: '', key, removed: true, ver: version});
    }
    this.version = version;
    this.wake();
    return [200, {ver: version, now_ms: 0}];
  }
}
