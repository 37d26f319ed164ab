/**
 * A complete fleet of real processes on loopback: the platform stand-in, entry
 * instances and backend server stand-ins. The demo and process-level tests use
 * it; the daemon itself never starts processes.
 */
import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {request} from 'undici';
import {ChildProcess} from './child-process.js';
import {findFreePorts} from './free-ports.js';
import {OneWayRelay} from './one-way-relay.js';

export interface LocalFleetOptions {
  /** Zone and region of each entry instance to start. */
  zones: {availabilityZone: string; region: string}[];
  storeRegion: string;
  logLevel?: string;
  balancerWaitMs?: number;
  /** Connects each instance to the platform through a relay of its own. */
  relayPlatform?: boolean;
}

export interface FleetInstance {
  instanceId: string;
  process: ChildProcess;
  entryUrl: string;
  adminUrl: string;
  /** Relay to the platform; set with `LocalFleetOptions.relayPlatform`. */
  platformRelay: OneWayRelay | undefined;
}

export interface FleetTarget {
  process: ChildProcess;
  port: number;
}

/** The requests that a backend server stand-in received and executed. */
export interface TargetObservations {
  /** Number of executions by idempotency key. */
  executions: Record<string, number>;
  /** Target and header lines of every request. */
  seen: string[];
}

export interface TargetOptions {
  slots: number;
  serviceTimeMs: number;
}

const ADMIN_TOKEN = 'administration-token-of-the-demo';
const FLEET_SECRET = 'fleet-secret-of-the-demo';
const READY_TIMEOUT_MS = 15_000;
const READY_CHECK_INTERVAL_MS = 50;

const execFileAsync = promisify(execFile);
const packagesPath = fileURLToPath(new URL('../../../', import.meta.url));
const resolveScript = (path: string) => join(packagesPath, path);

export class LocalFleet {
  readonly instances: FleetInstance[] = [];
  readonly targets: FleetTarget[] = [];
  private readonly directory = mkdtempSync(join(tmpdir(), 'fireflytrack-'));
  private startedInstanceCount = 0;

  private constructor(
    private readonly options: LocalFleetOptions,
    readonly platform: ChildProcess,
    readonly platformUrl: string,
  ) {}

  /** Starts the platform stand-in and one instance per entry of `zones`. */
  static async create(options: LocalFleetOptions): Promise<LocalFleet> {
    const platform = ChildProcess.start(
      resolveScript('stand-ins/bin/platform.js'),
      [],
    );
    const {port} = await platform.readFirstLine<{port: number}>();
    const url = `http://127.0.0.1:${port}`;
    const fleet = new LocalFleet(options, platform, url);
    for (const zone of options.zones) await fleet.startInstance(zone);
    return fleet;
  }

  async startInstance(zone: {
    availabilityZone: string;
    region: string;
  }): Promise<FleetInstance> {
    this.startedInstanceCount += 1;
    const instanceId = `${zone.availabilityZone}-i${this.startedInstanceCount}`;
    const [entryPort, adminPort, peerPort] = await findFreePorts(3);
    const file = join(this.directory, `${instanceId}.ini`);
    const platformRelay = await this.startRelay();
    const platformUrl = platformRelay
      ? `http://127.0.0.1:${platformRelay.port()}`
      : this.platformUrl;
    writeFileSync(
      file,
      renderSettings(instanceId, zone, platformUrl, this.options, {
        entryPort: entryPort!,
        adminPort: adminPort!,
        peerPort: peerPort!,
      }),
    );
    await request(`${this.platformUrl}/v1/instances`, {
      method: 'POST',
      body: JSON.stringify({
        instanceId,
        host: '127.0.0.1',
        entryPort,
        adminPort,
        peerPort,
        ...zone,
        state: 'live',
      }),
    });
    const instance: FleetInstance = {
      instanceId,
      process: ChildProcess.start(
        resolveScript('daemon/bin/fireflytrackd.js'),
        [file],
      ),
      entryUrl: `http://127.0.0.1:${entryPort}`,
      adminUrl: `http://127.0.0.1:${adminPort}`,
      platformRelay,
    };
    this.instances.push(instance);
    return instance;
  }

  async startTarget(options: TargetOptions): Promise<FleetTarget> {
    const target = ChildProcess.start(
      resolveScript('stand-ins/bin/backend.js'),
      [
        '--slots',
        String(options.slots),
        '--service-time-ms',
        String(options.serviceTimeMs),
      ],
    );
    const {port} = await target.readFirstLine<{port: number}>();
    const started = {process: target, port};
    this.targets.push(started);
    return started;
  }

  private async startRelay(): Promise<OneWayRelay | undefined> {
    if (!this.options.relayPlatform) return undefined;
    const targetPort = Number(new URL(this.platformUrl).port);
    const relay = OneWayRelay.create({targetHost: '127.0.0.1', targetPort});
    await relay.start();
    return relay;
  }

  /** Sets faults of the platform stand-in; `control` is the body of `/control`. */
  async setPlatformFaults(control: object): Promise<void> {
    const url = `${this.platformUrl}/control`;
    await request(url, {method: 'PUT', body: JSON.stringify(control)});
  }

  /**
   * Sets faults of a backend server; `control` is the body of `/control`.
   * Returns what the server received and executed so far.
   */
  async controlTarget(
    target: FleetTarget,
    control: object = {},
  ): Promise<TargetObservations> {
    const url = `http://127.0.0.1:${target.port}/control`;
    const body = JSON.stringify(control);
    const response = await request(url, {method: 'PUT', body});
    return (await response.body.json()) as TargetObservations;
  }

  /** Runs the command line against the first instance; returns its output. */
  async runCommand(...args: string[]): Promise<string> {
    const admin = [
      '--url',
      this.instances[0]!.adminUrl,
      '--token',
      ADMIN_TOKEN,
    ];
    const binary = resolveScript('cli/bin/fireflytrack.js');
    const {stdout} = await execFileAsync(process.execPath, [
      binary,
      ...args,
      ...admin,
    ]);
    return stdout.trim();
  }

  /** Writes a configuration to a file and returns the file's path. */
  writeConfiguration(text: string): string {
    const file = join(this.directory, 'fleet.ini');
    writeFileSync(file, text);
    return file;
  }

  /** Waits until every instance reports ready; throws after 15 s. */
  async waitUntilReady(): Promise<void> {
    const deadlineAtMs = performance.now() + READY_TIMEOUT_MS;
    for (const instance of this.instances) {
      while (!(await isReady(instance))) {
        if (performance.now() > deadlineAtMs) {
          const lastErrors = instance.process.stderrLines.slice(-3).join('\n');
          const code = await Promise.race([
            instance.process.waitForExit(),
            undefined,
          ]);
          throw new Error(
            `${instance.instanceId} is not ready (exit code ${code}): ${lastErrors}`,
          );
        }
        await new Promise(resolve =>
          setTimeout(resolve, READY_CHECK_INTERVAL_MS),
        );
      }
    }
  }

  /** Stops all processes; true if no instance exited with an error code. */
  async stop(): Promise<boolean> {
    const instanceProcesses = this.instances.map(instance => instance.process);
    const codes = await Promise.all(
      instanceProcesses.map(child => child.stop()),
    );
    const otherProcesses = [
      ...this.targets.map(target => target.process),
      this.platform,
    ];
    await Promise.all(otherProcesses.map(child => child.stop()));
    for (const {platformRelay} of this.instances) await platformRelay?.stop();
    rmSync(this.directory, {recursive: true});
    return codes.every(code => code === 0 || code === null);
  }
}

async function isReady(instance: FleetInstance): Promise<boolean> {
  try {
    const response = await request(`${instance.adminUrl}/ready`);
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}

function renderSettings(
  instanceId: string,
  zone: {availabilityZone: string; region: string},
  platformUrl: string,
  options: LocalFleetOptions,
  ports: {entryPort: number; adminPort: number; peerPort: number},
): string {
  return `[instance]
id = ${instanceId}
availability_zone = ${zone.availabilityZone}
region = ${zone.region}

[entry]
host = 127.0.0.1
port = ${ports.entryPort}

[admin]
host = 127.0.0.1
port = ${ports.adminPort}
token = ${ADMIN_TOKEN}

[peer]
host = 127.0.0.1
port = ${ports.peerPort}
fleet_secret = ${FLEET_SECRET}

[platform]
url = ${platformUrl}
store_region = ${options.storeRegion}

[log]
level = ${options.logLevel ?? 'warn'}

[stop]
balancer_wait_ms = ${options.balancerWaitMs ?? 200}
`;
}
