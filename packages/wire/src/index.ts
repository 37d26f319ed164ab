export type {
  MessageHandler,
  PeerIdentity,
  PeerNetwork,
  RequestHandler,
} from './lib/peer-network.js';
export type {PeerError} from './lib/peer-error.js';
export {peerError} from './lib/peer-error.js';
export {MemoryNetwork} from './lib/memory-network.js';
export type {MemoryNetworkOptions} from './lib/memory-network.js';
