/** Connections of callers and the HTTP server that accepts them. */
export {CallerConnection, CallerConnections} from './lib/caller-connection.js';
export type {
  OpenRequest,
  OpenRequestReport,
  RequestPhase,
} from './lib/caller-connection.js';
export {createCallerServer} from './lib/create-caller-server.js';
export type {CallerServerOptions} from './lib/create-caller-server.js';
