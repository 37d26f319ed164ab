/**
 * Test harness that runs a small fleet of real processes on loopback, sends
 * requests to it and reads the executions that its backend servers recorded.
 */
import {LocalFleet} from '@fireflytrack/stand-ins';
import type {FleetInstance} from '@fireflytrack/stand-ins';
import {Agent, request} from 'undici';
import {sleep} from '@fireflytrack/time';

export const TEAM = 'tills-bergamo';

export interface ProcessHarnessOptions {
  instances: number;
  targets: number;
  serviceTimeMs: number;
  /** Places a relay between each instance and the platform. */
  relayPlatform?: boolean;
  /** How long a leaving instance still accepts connections. */
  balancerWaitMs?: number;
}

export interface CallResponse {
  status: number;
  /** Code of the refusal, or `ok`. */
  code: string;
  outcome: string | undefined;
}

const ZONES = [
  {availabilityZone: 'lombardia-1', region: 'lombardia'},
  {availabilityZone: 'veneto-1', region: 'veneto'},
  {availabilityZone: 'piemonte-1', region: 'piemonte'},
];
const SLOTS_PER_TARGET = 6;
const MAX_APPLY_RETRIES = 20;
const POLL_DELAY_MS = 250;
const KEY_READY_TIMEOUT_MS = 10_000;

export class ProcessHarness {
  private readonly agent = new Agent({pipelining: 1, connections: 64});
  teamKey = '';

  private constructor(readonly fleet: LocalFleet) {}

  /**
   * Starts a fleet, applies a configuration and issues a team key. Resolves
   * when every instance accepts the key; stops the fleet on failure.
   */
  static async create(options: ProcessHarnessOptions): Promise<ProcessHarness> {
    const fleet = await LocalFleet.create({
      zones: ZONES.slice(0, options.instances),
      storeRegion: 'lombardia',
      relayPlatform: options.relayPlatform ?? false,
      balancerWaitMs: options.balancerWaitMs ?? 200,
    });
    const harness = new ProcessHarness(fleet);
    try {
      for (let count = 0; count < options.targets; count += 1) {
        const {serviceTimeMs} = options;
        await fleet.startTarget({slots: SLOTS_PER_TARGET, serviceTimeMs});
      }
      await harness.configure();
    } catch (error) {
      // Processes left running would keep the test from ending.
      await harness.stop();
      throw error;
    }
    return harness;
  }

  async sendLookup(instance: FleetInstance, path = '1'): Promise<CallResponse> {
    return this.send(instance, 'GET', `/stock/${path}`, {});
  }

  async sendOrder(
    instance: FleetInstance,
    idempotencyKey: string,
  ): Promise<CallResponse> {
    const headers = {'idempotency-key': idempotencyKey};
    return this.send(instance, 'POST', '/orders', headers, 'dolphin');
  }

  /** Counts the executions of each idempotency key over all backend servers. */
  async countExecutions(): Promise<Map<string, number>> {
    const counts = new Map<string, number>();
    for (const target of this.fleet.targets) {
      const {executions} = await this.fleet.controlTarget(target);
      for (const [key, count] of Object.entries(executions)) {
        counts.set(key, (counts.get(key) ?? 0) + count);
      }
    }
    return counts;
  }

  async stop(): Promise<void> {
    await this.agent.destroy();
    for (const {process} of this.fleet.instances) process.signal('SIGCONT');
    await this.fleet.stop();
  }

  private async configure(): Promise<void> {
    const file = this.fleet.writeConfiguration(this.configurationText());
    for (let attempt = 0; ; attempt += 1) {
      try {
        await this.fleet.runCommand('apply', file, '--base', '0');
        break;
      } catch (error) {
        if (attempt === MAX_APPLY_RETRIES) throw error;
        await sleep(POLL_DELAY_MS);
      }
    }
    this.teamKey = await this.fleet.runCommand('keys', 'issue', TEAM);
    await this.fleet.waitUntilReady();
    const deadlineAtMs = performance.now() + KEY_READY_TIMEOUT_MS;
    for (const instance of this.fleet.instances) {
      while ((await this.sendLookup(instance)).code !== 'ok') {
        if (performance.now() > deadlineAtMs)
          throw new Error('key not accepted in time');
        await sleep(POLL_DELAY_MS);
      }
    }
  }

  private async send(
    instance: FleetInstance,
    method: 'GET' | 'POST',
    path: string,
    headers: Record<string, string>,
    body?: string,
  ): Promise<CallResponse> {
    const response = await request(`${instance.entryUrl}${path}`, {
      method,
      dispatcher: this.agent,
      headers: {authorization: `Bearer ${this.teamKey}`, ...headers},
      body: body ?? null,
    });
    const json = (await response.body.json()) as {
      code?: string;
      outcome?: string;
    };
    const code = response.statusCode === 200 ? 'ok' : (json.code ?? 'unknown');
    return {status: response.statusCode, code, outcome: json.outcome};
  }

  private configurationText(): string {
    const targets = this.fleet.targets
      .map(target => `127.0.0.1:${target.port}@lombardia-1`)
      .join(', ');
    return `[fleet]
schema_version = 1
name = process-run
max_instances = 8

[service.stock]
targets = ${targets}
slots = ${SLOTS_PER_TARGET}
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
