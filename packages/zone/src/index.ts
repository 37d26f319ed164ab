/**
 * Leader election per availability zone and the services the leader provides.
 */
export {CrashExchange} from './lib/crash-exchange.js';
export {FailureExchange} from './lib/failure-exchange.js';
export type {
  FailureExchangeOptions,
  ServerFailure,
} from './lib/failure-exchange.js';
export {FeedTiming} from './lib/feed-timing.js';
export {FreshnessLease} from './lib/freshness-lease.js';
export type {RelayAccess} from './lib/relayed-feed.js';
export type {Leader} from './lib/leader-row.js';
export type {RateDecision, RateLimiter} from './lib/rate-limiter.js';
export type {RateBounds} from './lib/zone-buckets.js';
export type {LimitElection} from './lib/zone-limit-grants.js';
export {SharedFeed} from './lib/shared-feed.js';
export type {
  FeedObservation,
  SharedFeedListener,
  SharedFeedOptions,
} from './lib/shared-feed.js';
export {ZoneLimitGrants} from './lib/zone-limit-grants.js';
export {ZoneBuckets} from './lib/zone-buckets.js';
export {ZoneMember} from './lib/zone-member.js';
export type {LeaderFollower, ZoneMemberOptions} from './lib/zone-member.js';
