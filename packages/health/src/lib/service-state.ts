/** The health of a service as plain data, for the state dump and checkers. */
import type {ServerHealth} from './server-health.js';
import type {Phase} from './server-health.js';
import type {ServiceHealth} from './service-health.js';

export interface ServerState {
  serverId: string;
  phase: Phase;
  slots: number;
  /** In the range [0.1, 1]. */
  rampWeight: number;
  outstandingHere: number;
  outstandingAtPeers: number;
  ejections: number;
  /** Time until a readmission probe may be sent; 0 if the server needs none. */
  readmitInMs: number;
}

export interface ServiceState {
  serviceName: string;
  capacityFloor: number;
  servers: ServerState[];
}

export function describeService(health: ServiceHealth): ServiceState {
  const {name, capacityFloor} = health.options.service;
  const servers = [...health.servers.values()].map(describeServer);
  return {serviceName: name, capacityFloor, servers};
}

function describeServer(server: ServerHealth): ServerState {
  const nowMs = performance.now();
  return {
    serverId: server.serverId,
    phase: server.phase,
    slots: server.slots,
    rampWeight: server.weight(nowMs),
    outstandingHere: server.inFlight.size,
    outstandingAtPeers: server.peerOutstanding,
    ejections: server.ejections,
    readmitInMs: server.needsReadmission()
      ? Math.max(0, server.readmitAtMs - nowMs)
      : 0,
  };
}
