/**
 * Stand-ins for scripts of this review: the platform's store, backend servers, a
 * TCP proxy, and gateway processes that are started with the command of the
 * deploy file. Plain JavaScript without dependencies; nothing has to be built.
 */
import {spawn} from 'node:child_process';
import {createServer as createHttpServer, request as httpRequest} from 'node:http';
import {connect, createServer as createTcpServer} from 'node:net';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join, resolve} from 'node:path';
import {fileURLToPath} from 'node:url';

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');

export const sleep = ms => new Promise(done => setTimeout(done, ms));

const startedAt = performance.now();
/** Milliseconds since the start of the script. */
export const now = () => performance.now() - startedAt;

/** Lines for record.txt. */
export class Record {
  lines = [];
  add(...parts) {
    this.lines.push(`${(now() / 1000).toFixed(3).padStart(8)} ${parts.join(' ')}`);
  }
  save(folder) {
    writeFileSync(join(folder, 'record.txt'), this.lines.join('\n') + '\n');
  }
}

/** A random loopback network, so that fixed ports of settings are free. */
const NETWORK = `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
let nextHost = 10;
export const newAddress = () => `${NETWORK}.${nextHost++}`;

/** The platform's store, as PROTOCOL.md describes it. */
export class Store {
  rows = new Map();
  version = 100;
  waiters = new Set();
  feedAnswered = [];
  /** Resolves when the store answers the next feed call for `table`. */
  async nextFeedAnswer(table) {
    for (;;) {
      const answered = await new Promise(done => this.feedAnswered.push(done));
      if (answered === table) return;
    }
  }
  /** Answers a call otherwise; returns true if it did. */
  intercept = undefined;
  /** Called with each transaction that was applied. */
  onTransaction = undefined;

  static async start() {
    const store = new Store();
    store.server = createHttpServer((req, res) => void store.answer(req, res));
    store.server.keepAliveTimeout = 120_000;
    store.host = newAddress();
    await new Promise(done => store.server.listen(0, store.host, done));
    store.port = store.server.address().port;
    return store;
  }
  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
  /** Writes as the operator or a server; returns when it was acknowledged. */
  put(table, key, value) {
    this.set(table, key, Buffer.from(JSON.stringify(value)).toString('base64'));
    return now();
  }
  remove(table, key) {
    this.set(table, key, undefined);
    return now();
  }
  set(table, key, value) {
    this.version += 1;
    const row = {table, part: '', key, ver: this.version};
    this.rows.set(`${table}/${key}`, value === undefined ? {...row, removed: true} : {...row, value});
    for (const wake of [...this.waiters]) wake();
  }
  current(table, key) {
    const row = this.rows.get(`${table}/${key}`);
    return row && !row.removed ? row : undefined;
  }
  changes(table, after) {
    return [...this.rows.values()].filter(r => r.table === table && r.ver > after).sort((a, b) => a.ver - b.ver);
  }
  async answer(req, res) {
    let body = '';
    for await (const chunk of req) body += chunk;
    const url = new URL(req.url, 'http://store');
    if (this.intercept?.(url, req, res)) return;
    const q = url.searchParams;
    const table = q.get('table') ?? '';
    const send = (status, payload) => {
      const text = JSON.stringify({...payload, now_ms: Math.round(now())});
      res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}).end(text);
    };
    await sleep(4);
    if (url.pathname === '/v1/rows-tx') {
      const tx = JSON.parse(body);
      const expected = tx.expected_rev ?? [];
      if (expected.some(e => (this.current(e.table, e.key)?.ver ?? 0) !== e.ver)) {
        const rows = expected.map(e => this.current(e.table, e.key)).filter(Boolean);
        return send(412, {rows, ver: this.version});
      }
      for (const {table: t, key, value} of tx.set_keys ?? []) this.set(t, key, value);
      for (const {table: t, key} of tx.remove ?? []) this.set(t, key, undefined);
      this.onTransaction?.(tx);
      return send(200, {ver: this.version});
    }
    if (url.pathname === '/v1/rows-get') {
      const from = q.get('from') ?? '';
      const to = q.get('target');
      const limit = Math.min(500, Number(q.get('limit') ?? 500));
      const rows = [...this.rows.values()]
        .filter(r => r.table === table && !r.removed && r.key >= from && (to === null || r.key < to))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return send(200, {rows: rows.slice(0, limit), truncated: rows.length > limit, ver: this.version});
    }
    if (url.pathname === '/v1/rows-feed') {
      const after = Number(q.get('after'));
      const waitMs = Number(q.get('wait_ms'));
      if (this.changes(table, after).length === 0) {
        await new Promise(done => {
          const check = () => {
            if (this.changes(table, after).length > 0) wake();
          };
          const wake = () => {
            clearTimeout(timer);
            this.waiters.delete(check);
            done();
          };
          const timer = setTimeout(wake, waitMs);
          this.waiters.add(check);
        });
      }
      send(200, {rows: this.changes(table, after), ver: this.version});
      for (const notify of this.feedAnswered.splice(0)) notify(table);
      return undefined;
    }
    return send(404, {});
  }
}

/** A TCP proxy that can silence its open connections for good. */
export class Proxy {
  pairs = new Set();
  /** While set, new connections are silent as well. */
  isCut = false;

  static async start(host, port) {
    const proxy = new Proxy();
    proxy.server = createTcpServer(client => proxy.join(client, host, port));
    proxy.host = newAddress();
    await new Promise(done => proxy.server.listen(0, proxy.host, done));
    proxy.port = proxy.server.address().port;
    return proxy;
  }
  join(client, host, port) {
    const target = connect({host, port, noDelay: true});
    client.setNoDelay(true);
    const pair = {client, target, silent: this.isCut};
    this.pairs.add(pair);
    const forward = (from, to) => {
      from.on('error', () => {});
      from.on('data', chunk => {
        if (!pair.silent) to.write(chunk);
      });
      from.on('close', () => {
        this.pairs.delete(pair);
        if (!pair.silent) to.destroy();
      });
    };
    forward(client, target);
    forward(target, client);
  }
  /** The open connections deliver nothing any more; new ones work. */
  silenceOpen() {
    let silenced = 0;
    for (const pair of this.pairs) {
      if (!pair.silent) silenced += 1;
      pair.silent = true;
    }
    return silenced;
  }
  stop() {
    this.server.close();
    for (const {client, target} of this.pairs) {
      client.destroy();
      target.destroy();
    }
  }
}

/** A backend server that registers itself in the store. */
export class Target {
  arrivals = [];
  running = 0;

  static async start(store, {id, service, zone, slots = 4, workMs = 20, handle, host = newAddress(), born = Date.now()}) {
    const target = new Target();
    Object.assign(target, {store, id, service, zone, slots, workMs, handle, host, born, sequence: 1});
    target.server = createHttpServer((req, res) => target.receive(req, res));
    target.server.keepAliveTimeout = 10_000;
    await new Promise(done => target.server.listen(0, host, done));
    target.port = target.server.address().port;
    target.register('ready');
    return target;
  }
  register(state) {
    this.sequence += 1;
    return this.store.put('servers', this.id, {
      address: `${this.host}:${this.port}`,
      born: this.born,
      info: {service: this.service, version: 'v1', zone: this.zone, slots: this.slots},
      status: {state, sequence: this.sequence, warmup_left_ms: 0},
    });
  }
  /** Leaves the list without reporting `draining` first. */
  unregister() {
    return this.store.remove('servers', this.id);
  }
  receive(req, res) {
    const requestId = req.headers['request-id'];
    const expected = req.headers['target-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, {'instance-id': this.id, 'request-id': requestId ?? ''}).end();
      return;
    }
    this.arrivals.push({requestId, atMs: now(), method: req.method, path: req.url, tenant: req.headers.tenant, key: req.headers.authorization});
    if (this.handle?.(req, res, this)) return;
    req.resume();
    req.on('end', () => setTimeout(() => this.respond(req, res), this.workMs));
  }
  respond(req, res) {
    const requestId = req.headers['request-id'];
    const body = `body of ${requestId}`;
    res.writeHead(200, {
      'request-id': requestId,
      'response-seal': `seal.${requestId}`,
      'content-length': body.length,
    });
    res.end(body);
  }
  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Renders a template as DEPLOY.md describes it, as far as ours uses it. */
export function render(template, fields) {
  const look = (path, scopes) => {
    for (const scope of scopes) {
      let value = scope;
      for (const part of path.split('.')) value = value?.[part];
      if (value !== undefined) return value;
    }
    return undefined;
  };
  const fill = (text, scopes) =>
    text
      .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_all, path, inner) => {
        const entries = Object.entries(look(path, scopes) ?? {});
        return entries
          .map(([key, value], index) =>
            inner
              .replaceAll('{{@}}', key)
              .replaceAll('{{.}}', String(value))
              .replaceAll('{{,}}', index < entries.length - 1 ? ',' : ''),
          )
          .join('');
      })
      .replace(/\{\{([\w.]+)\}\}/g, (_all, path) => String(look(path, scopes) ?? ''));
  const {self, network, provider, terms} = fields;
  return fill(template, [self, network, provider, terms]);
}

/** The bounds of the small site files. */
export const BOUNDS = {
  contact_ms: 3000,
  drain_ms: 2000,
  grace_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 60,
  quota_window_s: 5,
  quota_overrun: 0.1,
  quota_slack: 20,
  floor_share: 0.7,
};

const deployText = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
const COMMAND = /^run = "(.*)"$/m.exec(deployText)[1].split(' ');

/** One gateway process, started with the command of the deploy file. */
export class Gateway {
  lives = 0;
  log = [];

  constructor(options) {
    Object.assign(this, options);
    this.host = this.host ?? newAddress();
    this.frontPort = 8045;
    this.readyPort = 8048;
    this.folder = mkdtempSync(join(tmpdir(), 'review-gateway-'));
  }
  writeSettings() {
    const fields = {
      self: {
        node_name: this.name,
        ip: this.host,
        zone: this.zone,
        region: this.zones[this.zone],
        first_start: this.lives === 0 && this.firstStart !== false,
        limits: {cpu_share: 0.54, memory_mb: 350},
      },
      network: {
        listen: {front: `${this.host}:${this.frontPort}`, ready: `${this.host}:${this.readyPort}`},
        port_range: [7100, 7115],
        zones: this.zones,
      },
      provider: {provider: {address: `${this.storeHost}:${this.storePort}`}},
      terms: {bounds: {...BOUNDS, ...this.bounds}},
    };
    // The template names the tables' fields without the tables.
    fields.provider = {provider: fields.provider.provider};
    const template = readFileSync(join(ROOT, 'deploy/settings.ini'), 'utf8');
    this.file = join(this.folder, 'boot.conf');
    writeFileSync(this.file, render(template, fields));
  }
  start() {
    this.writeSettings();
    this.lives += 1;
    const [program, ...args] = COMMAND;
    const env = {PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', FIREFLYTRACK_BOOT: this.file};
    const child = spawn(program, args, {cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe']});
    this.child = child;
    this.exited = new Promise(done =>
      child.once('exit', (code, signal) => {
        child.hasEnded = true;
        child.endedBy = {code, signal};
        done({code, signal});
      }),
    );
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding('utf8');
      let rest = '';
      stream.on('data', text => {
        const lines = (rest + text).split('\n');
        rest = lines.pop();
        for (const line of lines) {
          this.log.push({atMs: now(), line});
          this.onLine?.(line, this);
        }
      });
    }
  }
  signal(name) {
    if (!this.child.hasEnded) this.child.kill(name);
  }
  async kill() {
    this.signal('SIGKILL');
    await this.exited;
  }
  ready() {
    return new Promise(done => {
      const req = httpRequest({host: this.host, port: this.readyPort, path: '/v1/ready', timeout: 800, agent: false}, res => {
        res.resume();
        done(res.statusCode === 200);
      });
      req.on('error', () => done(false));
      req.on('timeout', () => req.destroy());
      req.end();
    });
  }
  async waitReady(timeoutMs = 15_000) {
    const untilMs = now() + timeoutMs;
    while (!(await this.ready())) {
      if (now() > untilMs) throw new Error(`${this.name} is not ready`);
      await sleep(50);
    }
  }
  async dispose() {
    if (this.child && !this.child.hasEnded) {
      this.child.kill('SIGCONT');
      await this.kill();
    }
    rmSync(this.folder, {recursive: true, force: true});
  }
}

let lastId = 0;
export const newRequestId = () => `${(++lastId).toString(16).padStart(6, '0')}${Math.floor(Math.random() * 2 ** 32).toString(16).padStart(8, '0')}`;

/** Sends one request on a new connection, as a client does. */
export function ask(gateway, {method = 'GET', path, host, key, deadlineMs = 2000, requestId = newRequestId(), body, agent = false, headers = {}}) {
  const sentAtMs = now();
  return new Promise(done => {
    const options = {
      host: gateway.host,
      port: gateway.frontPort,
      method,
      path,
      agent,
      headers: {
        host,
        'request-id': requestId,
        'request-deadline-ms': String(deadlineMs),
        ...(key === undefined ? {} : {authorization: `Token ${key}`}),
        ...headers,
      },
    };
    let settled = false;
    const finish = result => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      done({requestId, sentAtMs, endedAtMs: now(), gateway: gateway.name, ...result});
    };
    const req = httpRequest(options, res => {
      let text = '';
      res.setEncoding('utf8');
      res.on('data', chunk => (text += chunk));
      res.on('end', () => finish({status: res.statusCode, headers: res.headers, text, whole: res.complete}));
      res.on('close', () => finish({status: undefined, error: 'cut'}));
    });
    const timer = setTimeout(() => {
      finish({status: undefined, error: 'deadline'});
      req.destroy();
    }, deadlineMs);
    req.on('error', error => finish({status: undefined, error: error.code ?? error.message}));
    req.end(body);
  });
}

export function configuration({version, tenants, routes, services, limits = {}}) {
  const hosts = new Map();
  for (const {host, ...route} of routes) hosts.set(host, [...(hosts.get(host) ?? []), route]);
  return {
    version: `r${version}`,
    limits: {max_header_bytes: 16384, max_body_bytes: 1_048_576, header_timeout_ms: 3000, idle_timeout_ms: 15000, ...limits},
    ...(tenants ? {tenants} : {}),
    listeners: [...hosts].map(([host, policies]) => ({host, policies})),
    clusters: services.map(name => ({name, health_path: '/healthz', max_conns: 360, protocol: 'h1', tls: false})),
  };
}

export function route({host = 'shop.example', name, prefix, kind = 'safe', service, timeoutMs = 2000, attempts = 2, aimMs = 1000, open = false}) {
  return {
    host,
    name,
    kind,
    aim_ms: aimMs,
    priority: 1,
    public: open,
    match: {prefix},
    action: {service, timeout_ms: timeoutMs, max_attempts: attempts},
  };
}
