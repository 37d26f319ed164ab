export type {FreshnessEvidence, Member, Membership} from './lib/membership.js';
export {rankByRendezvous} from './lib/rendezvous.js';
export {FixedMembership} from './lib/fixed-membership.js';
