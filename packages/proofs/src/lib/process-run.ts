/**
 * Runs with real processes: a small fleet on loopback, its callers, and what
 * they and the backend servers saw.
 */
import {LocalFleet} from '@fireflytrack/stand-ins';
import type {FleetInstance} from '@fireflytrack/stand-ins';
import {Agent, request} from 'undici';
import {sleep} from '@fireflytrack/time';

export const TEAM = 'tills-bergamo';

export interface ProcessRunOptions {
  instances: number;
  targets: number;
  serviceTimeMs: number;
  /** Puts a relay between each instance and the platform. */
  relayPlatform?: boolean;
  /** Time in which a leaving instance still accepts connections. */
  balancerWaitMs?: number;
}

export interface CallAnswer {
  status: number;
  /** The refusal's code, or `ok`. */
  code: string;
  outcome: string | undefined;
}

const ZONES = [
  {availabilityZone: 'lombardia-1', region: 'lombardia'},
  {availabilityZone: 'veneto-1', region: 'veneto'},
  {availabilityZone: 'piemonte-1', region: 'piemonte'},
];
const SLOTS = 6;
const START_ATTEMPTS = 20;
const ATTEMPT_DELAY_MS = 250;
const KEY_WAIT_MS = 10_000;

export class ProcessRun {
  private readonly agent = new Agent({pipelining: 1, connections: 64});
  key = '';

  private constructor(readonly fleet: LocalFleet) {}

  /** Starts a fleet, applies a configuration and issues a team key. */
  static async create(options: ProcessRunOptions): Promise<ProcessRun> {
    const fleet = await LocalFleet.create({
      zones: ZONES.slice(0, options.instances),
      storeRegion: 'lombardia',
      relayPlatform: options.relayPlatform ?? false,
      balancerWaitMs: options.balancerWaitMs ?? 200,
    });
    const run = new ProcessRun(fleet);
    try {
      for (let count = 0; count < options.targets; count += 1) {
        const {serviceTimeMs} = options;
        await fleet.startTarget({slots: SLOTS, serviceTimeMs});
      }
      await run.configure();
    } catch (error) {
      // Processes that go on running would keep the test from ending.
      await run.stop();
      throw error;
    }
    return run;
  }

  async lookup(instance: FleetInstance, path = '1'): Promise<CallAnswer> {
    return this.call(instance, 'GET', `/stock/${path}`, {});
  }

  async order(
    instance: FleetInstance,
    idempotencyKey: string,
  ): Promise<CallAnswer> {
    const headers = {'idempotency-key': idempotencyKey};
    return this.call(instance, 'POST', '/orders', headers, 'dolphin');
  }

  /** Executions of each order over all backend servers. */
  async executions(): Promise<Map<string, number>> {
    const total = new Map<string, number>();
    for (const target of this.fleet.targets) {
      const {executions} = await this.fleet.controlTarget(target);
      for (const [key, count] of Object.entries(executions)) {
        total.set(key, (total.get(key) ?? 0) + count);
      }
    }
    return total;
  }

  async stop(): Promise<void> {
    await this.agent.destroy();
    for (const {process} of this.fleet.instances) process.signal('SIGCONT');
    await this.fleet.stop();
  }

  private async configure(): Promise<void> {
    const file = this.fleet.writeConfiguration(this.text());
    for (let attempt = 0; ; attempt += 1) {
      try {
        await this.fleet.command('apply', file, '--base', '0');
        break;
      } catch (error) {
        if (attempt === START_ATTEMPTS) throw error;
        await sleep(ATTEMPT_DELAY_MS);
      }
    }
    this.key = await this.fleet.command('keys', 'issue', TEAM);
    await this.fleet.waitReady();
    const boundAtMs = performance.now() + KEY_WAIT_MS;
    for (const instance of this.fleet.instances) {
      while ((await this.lookup(instance)).code !== 'ok') {
        if (performance.now() > boundAtMs) throw new Error('key not usable');
        await sleep(ATTEMPT_DELAY_MS);
      }
    }
  }

  private async call(
    instance: FleetInstance,
    method: 'GET' | 'POST',
    path: string,
    headers: Record<string, string>,
    body?: string,
  ): Promise<CallAnswer> {
    const answer = await request(`${instance.entryUrl}${path}`, {
      method,
      dispatcher: this.agent,
      headers: {authorization: `Bearer ${this.key}`, ...headers},
      body: body ?? null,
    });
    const json = (await answer.body.json()) as {
      code?: string;
      outcome?: string;
    };
    const code = answer.statusCode === 200 ? 'ok' : (json.code ?? 'unknown');
    return {status: answer.statusCode, code, outcome: json.outcome};
  }

  private text(): string {
    const targets = this.fleet.targets
      .map(target => `127.0.0.1:${target.port}@lombardia-1`)
      .join(', ');
    return `[fleet]
schema_version = 1
name = process-run
max_instances = 8

[service.stock]
targets = ${targets}
slots = ${SLOTS}
connections = 360
capacity_floor = 0.5

[route.lookup]
service = stock
path = /stock/*
methods = GET
execution = idempotent
teams = *
deadline_ms = 4000

[route.order]
service = stock
path = /orders
methods = POST
execution = once
teams = ${TEAM}
deadline_ms = 4000

[team.${TEAM}]
rate_per_second = 5000
burst_tokens = 5000
`;
  }
}
