export {PlatformServer} from './lib/platform-server.js';
export type {PlatformServerOptions} from './lib/platform-server.js';
export {BackendStandIn} from './lib/backend-stand-in.js';
export type {BackendFault, BackendOptions} from './lib/backend-stand-in.js';
export {runBackend, runPlatform} from './lib/process-mains.js';
export {runDemo} from './lib/demo.js';
export {LocalFleet} from './lib/local-fleet.js';
export type {
  FleetInstance,
  FleetTarget,
  LocalFleetOptions,
  TargetObservations,
} from './lib/local-fleet.js';
export {ChildProcess} from './lib/child-process.js';
export {OneWayRelay} from './lib/one-way-relay.js';
export type {OneWayRelayOptions, RelayDirection} from './lib/one-way-relay.js';
export {findFreePorts} from './lib/free-ports.js';
