/** Discovery of backend servers, and the feeds that report their changes. */
export {
  discoveredServerSchema,
  isSameIncarnation,
} from './lib/backend-server.js';
export type {DiscoveredServer} from './lib/backend-server.js';
export type {
  ChangeFeed,
  FeedError,
  FeedOrigin,
  FeedPage,
  FeedPosition,
  FeedRow,
} from './lib/change-feed.js';
export {FeedFollower} from './lib/feed-follower.js';
export type {FeedListener, FeedFollowerOptions} from './lib/feed-follower.js';
export {ServerCatalog} from './lib/server-catalog.js';
export type {
  CatalogListener,
  CatalogServer,
  ServerCatalogOptions,
} from './lib/server-catalog.js';
