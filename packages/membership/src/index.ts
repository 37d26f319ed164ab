export type {FreshnessEvidence, Member, Membership} from './lib/membership.js';
export {rankByRendezvous} from './lib/rendezvous.js';
export {FixedMembership} from './lib/fixed-membership.js';
export {PeerMembership} from './lib/peer-membership.js';
export type {PeerMembershipOptions} from './lib/peer-membership.js';
export {TableLease} from './lib/table-lease.js';
export type {TableLeaseOptions} from './lib/table-lease.js';
