/** The instances of the fleet, as other packages see them. */
import type {PeerIdentity} from '@fireflytrack/wire';

export interface Member {
  identity: PeerIdentity;
  /** On the platform's list at its last successful read. */
  listed: boolean;
  /** Frames came from it within 2 s and it confirmed receiving frames of this instance. */
  reachable: boolean;
  /** It announced a planned stop, or the list says that it is leaving. */
  leaving: boolean;
}

export interface Membership {
  readonly self: PeerIdentity;
  /** Every instance that may be running, without this one. */
  others(): readonly Member[];
  /** Ids of this instance and of all reachable ones that are not leaving. */
  liveIds(): readonly string[];
  /**
   * Whether `instanceId` certainly ended: it was on the list, and the list has
   * been read without it for `forMs`.
   */
  isGone(instanceId: string, forMs: number): boolean;
}

/** How recently the store's state is known here, without comparing clocks. */
export interface FreshnessEvidence {
  /**
   * Records the result of this instance's own read of the store. `sentAtMs` is
   * the monotonic time at which the read was sent: the evidence counts from
   * then, because the response may be late.
   */
  recordRead(succeeded: boolean, sentAtMs?: number): void;
  /** Upper bound of the age of the newest evidence; infinite without any. */
  ageMs(): number;
}
