export type {Admission, TeamLimiter} from './lib/team-limiter.js';
export {TokenBucket} from './lib/token-bucket.js';
export {StaticShareLimiter} from './lib/static-share-limiter.js';
