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
export type {PeerAddress, PeerDialer} from './lib/peer-dialer.js';
export {TcpPeerNetwork} from './lib/tcp-peer-network.js';
export type {TcpPeerNetworkOptions} from './lib/tcp-peer-network.js';
