/** The instances of the fleet, and how recently the store was read. */
import type {PeerIdentity} from '@fireflytrack/wire';

export interface Member {
  identity: PeerIdentity;
  /** Whether the last successful read of the platform's list contained it. */
  listed: boolean;
  /**
   * Within the last 2 s, this instance received a heartbeat from it, and it
   * confirmed a heartbeat that this instance sent in that time.
   */
  reachable: boolean;
  /** It announced a planned stop, or is marked as leaving on the list. */
  leaving: boolean;
}

export interface Membership {
  readonly self: PeerIdentity;
  /** Every instance that may be running, except this one. */
  others(): readonly Member[];
  /** Ids of this instance and of all reachable ones that are not leaving. */
  liveIds(): readonly string[];
  /**
   * Whether `instanceId` has ended: it was on the list, and for at least
   * `forMs` it has been missing from the list that was read and sent no frame.
   */
  hasEnded(instanceId: string, forMs: number): boolean;
}

/** How recent this instance's knowledge of the store is, on its own clock. */
export interface FreshnessEvidence {
  /**
   * Records the result of a read of the store by this instance. `sentAtMs` is
   * the monotonic time at which the read was sent; the age of the evidence
   * counts from then, because the response may be delayed.
   */
  recordRead(succeeded: boolean, sentAtMs?: number): void;
  /**
   * Upper bound on the age of the newest evidence; Infinity if there is none.
   */
  ageMs(): number;
}
