/** An upstream whose servers are scripted; the first one is tried first. */
import type {CatalogServer} from '@fireflytrack/discovery';
import {createLogger} from '@fireflytrack/telemetry';
import {CrashSuspects} from '../lib/crash-suspects.js';
import {KnownLimits} from '../lib/known-limits.js';
import {Upstream} from '../lib/upstream.js';
import type {ObservedFailure} from '../lib/upstream.js';
import {ScriptedServer} from './scripted-server.js';
import type {Script} from './scripted-server.js';

export const SERVICE = 'counting';

export class ScriptedUpstream {
  readonly servers: ScriptedServer[] = [];
  /** Catalog entries of the servers. */
  readonly entries: CatalogServer[] = [];
  readonly failures: ObservedFailure[] = [];
  readonly upstream: Upstream;
  readonly limits: KnownLimits;
  readonly suspects: CrashSuspects;
  /** Runs before each grant. */
  beforeGrant: () => Promise<void> = async () => {};

  private constructor() {
    const logger = createLogger({level: 'error', silent: true});
    this.limits = KnownLimits.create(logger);
    this.suspects = CrashSuspects.create({
      holdAfter: 3,
      holdMs: 60_000,
      logger,
    });
    this.upstream = Upstream.create({
      location: {availabilityZone: 'z1', region: 'r'},
      regionOf: () => 'r',
      headerNames: {
        requestId: 'request-id',
        deadlineMs: 'deadline-ms',
        expectedServer: 'expected-server',
        team: 'team',
        notExecuted: 'not-run',
        signature: 'signature',
        serverLimit: 'server-limit',
        serverLeaving: 'server-leaving',
        retryAfter: 'retry-after',
      },
      retryBudgetFor: () => ({
        recordRequest: () => {},
        takeRetry: async () => true,
      }),
      instances: () => 1,
      countedInstances: () => 1,
      connectionLimitOf: () => 10,
      floorShare: 0.7,
      onFailure: failure => this.failures.push(failure),
      limits: this.limits,
      suspects: this.suspects,
      requestTrial: async () => false,
      // Grants every request to the preferred server.
      grants: {
        requestGrant: async ({candidates}) => {
          await this.beforeGrant();
          return {kind: 'granted', serverId: candidates[0]!.serverId};
        },
        announce: () => {},
      },
      logger,
    });
  }

  static async start(scripts: readonly Script[]): Promise<ScriptedUpstream> {
    const scripted = new ScriptedUpstream();
    for (const script of scripts) await scripted.add(script);
    return scripted;
  }

  /** Removes the entry of a server and adds it again, as it is now. */
  replace(index: number): void {
    const entry = this.entries[index]!;
    this.upstream.removeServer(entry);
    this.upstream.addServer(entry);
  }

  stop(): void {
    this.upstream.close();
    for (const server of this.servers.splice(0)) server.stop();
  }

  private async add(script: Script): Promise<void> {
    const index = this.servers.length;
    const server = await ScriptedServer.start(script);
    this.servers.push(server);
    const entry: CatalogServer = {
      report: {
        serverId: `s${index}`,
        startedAtMs: 1,
        host: '127.0.0.1',
        port: server.port,
        service: SERVICE,
        // The first server is nearer, so it is tried first.
        availabilityZone: index === 0 ? 'z1' : 'z2',
        softwareVersion: 'v1',
        slots: 4,
        state: 'ready',
        warmupLeftMs: 0,
        reportNumber: 1,
      },
      warmUntilMs: 0,
      firstSeenAtMs: 0,
    };
    this.entries.push(entry);
    this.upstream.addServer(entry);
  }
}
