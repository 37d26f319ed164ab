/** Catalog entries of backend servers, for tests without a network. */
import type {CatalogServer} from '@fireflytrack/discovery';

export function catalogServerIn(
  serverId: string,
  availabilityZone: string,
): CatalogServer {
  return {
    report: {
      serverId,
      startedAtMs: 1,
      host: '127.0.0.1',
      port: 9,
      service: 'counting',
      availabilityZone,
      softwareVersion: 'v1',
      slots: 4,
      state: 'ready',
      warmupLeftMs: 0,
      reportNumber: 1,
    },
    warmUntilMs: 0,
    firstSeenAtMs: 0,
  };
}
