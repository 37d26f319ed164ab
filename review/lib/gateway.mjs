/**
 * Starts gateway processes with the command of the deploy file, and the settings
 * that the platform would render from the project's template.
 */
import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));
export const sleep = ms => new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));

/** Bounds of the small deployments (SYSTEM.md). */
export const BOUNDS = {
  revoke_ms: 5000,
  config_apply_ms: 2000,
  drain_ms: 2000,
  grace_s: 6,
  retry_budget_ratio: 0.2,
  retry_slack: 60,
  retry_window_s: 10,
  floor_share: 0.7,
  quota_overrun: 0.1,
  quota_slack: 20,
};

const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
const [program, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
const templateFile = /^template = "(.*)"$/m.exec(deploy)[1];
const template = readFileSync(join(ROOT, templateFile), 'utf8');

/** A loopback address of its own, so that the fixed ports are free. */
export function loopback() {
  const part = () => 1 + Math.floor(Math.random() * 254);
  return `127.${part()}.${part()}.${part()}`;
}

export class Gateway {
  static folder = mkdtempSync(join(tmpdir(), 'review-'));
  static all = new Set();

  /** Removes the temporary folder and ends all processes. */
  static cleanUp() {
    for (const gateway of Gateway.all) gateway.signal('SIGKILL');
    rmSync(Gateway.folder, {recursive: true, force: true});
  }

  constructor(options) {
    const {name, zone = 'nord-a', region = 'nord', zones = 'nord-a:nord', store} = options;
    const {bounds = BOUNDS, storeAddress = `${store.host}:${store.port}`} = options;
    this.name = name;
    this.host = loopback();
    this.port = 8045;
    this.readyPort = 8048;
    this.log = [];
    const values = {
      node_name: name,
      zone,
      region,
      'limits.cpu_share': 0.54,
      'limits.memory_mb': 350,
      first_start: options.firstStart ?? 'true',
      'listen.front': `${this.host}:${this.port}`,
      'listen.ready': `${this.host}:${this.readyPort}`,
      ip: this.host,
      'port_range.0': 7100,
      'provider.address': storeAddress,
    };
    for (const [key, value] of Object.entries(bounds)) values[`bounds.${key}`] = value;
    const text = template
      .replace(/\{\{#zones\}\}.*\{\{\/zones\}\}/, zones)
      .replace(/\{\{([^}]+)\}\}/g, (_all, key) => String(values[key] ?? ''));
    this.file = join(Gateway.folder, `${name}.ini`);
    writeFileSync(this.file, text);
  }

  start() {
    const env = {PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C', FIREFLYTRACK_BOOT: this.file};
    const child = spawn(program, words, {cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe']});
    this.child = child;
    this.exit = undefined;
    Gateway.all.add(this);
    let rest = '';
    const onData = chunk => {
      const lines = (rest + chunk).split('\n');
      rest = lines.pop();
      for (const line of lines) this.log.push(line);
    };
    child.stdout.on('data', onData);
    child.stderr.on('data', onData);
    this.exited = new Promise(resolve =>
      child.once('exit', (code, signal) => {
        this.exit = {code, signal, atMs: performance.now()};
        resolve(this.exit);
      }),
    );
    return this;
  }

  signal(name) {
    if (this.child && !this.exit) this.child.kill(name);
  }

  isReady(timeoutMs = 1000) {
    return new Promise(resolve => {
      const request = httpRequest(
        {host: this.host, port: this.readyPort, path: '/v1/ready', timeout: timeoutMs, agent: false},
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(false));
      request.end();
    });
  }

  async waitReady(withinMs = 20_000) {
    const untilMs = performance.now() + withinMs;
    while (!(await this.isReady())) {
      if (performance.now() > untilMs) return false;
      await sleep(50);
    }
    return true;
  }

  /** Polls readiness once a second, as the platform does. */
  pollReady() {
    this.readyTimer = setInterval(() => void this.isReady(), 1000);
    this.readyTimer.unref();
  }
}

/** Writes lines with the time since the start; each is on disk when it returns. */
export function recorder(file) {
  writeFileSync(file, '');
  const startMs = performance.now();
  return text => appendFileSync(file, `${((performance.now() - startMs) / 1000).toFixed(3)} ${text}\n`);
}

/** Runs a case, at most `limitMs`, and ends the process with its exit code. */
export async function runCase(main, record, limitMs = 100_000) {
  let code = 2;
  try {
    const tooLong = sleep(limitMs).then(() => {
      record('the case did not end in time');
      return 2;
    });
    code = await Promise.race([main(), tooLong]);
  } catch (error) {
    record(`the case failed: ${error.stack}`);
  }
  Gateway.cleanUp();
  record(`exit ${code}`);
  process.exit(code);
}
