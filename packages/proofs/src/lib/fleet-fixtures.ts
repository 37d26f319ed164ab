/** Rows and catalog entries of simulated instances and servers. */
import type {ServerRecord} from '@fireflytrack/upstream/selection';
import type {Leader} from '@fireflytrack/zone';

/** The row of a simulated instance that leads its zone. */
export function leaderRowOf(instance: {
  instanceId: string;
  availabilityZone: string;
  region: string;
}): Leader {
  const {instanceId, availabilityZone, region} = instance;
  return {
    instanceId,
    lifeId: instanceId,
    availabilityZone,
    region,
    host: '10.0.0.1',
    port: 7100,
    instances: 1,
  };
}

export function catalogEntryOf(
  server: {serverId: string; availabilityZone: string},
  service: string,
): Parameters<typeof ServerRecord.create>[0] {
  return {
    report: {
      serverId: server.serverId,
      startedAtMs: 1,
      host: '127.0.0.1',
      port: 9,
      service,
      availabilityZone: server.availabilityZone,
      softwareVersion: 'v1',
      slots: 6,
      state: 'ready',
      warmupLeftMs: 0,
      reportNumber: 1,
    },
    warmUntilMs: 0,
    firstSeenAtMs: 0,
  };
}
