/**
 * Permission to send requests to servers that named a limit. The limit holds for
 * all instances together, so each request needs a grant.
 */
import type {KnownLimit, ServerRun} from './known-limits.js';

export interface GrantRequest {
  service: string;
  team: string | undefined;
  /** Priority of the request; 0 is the most important. */
  rank: number;
  /** Servers with a limit, the preferred one first. */
  candidates: KnownLimit[];
  /** Whether no server without a limit can take the request. */
  isOnlyChoice: boolean;
}

export type GrantDecision =
  /** The request may be sent to `serverId` now. */
  | {kind: 'granted'; serverId: string}
  /** All candidates are at their limits. */
  | {kind: 'at-limit'; retryAfterMs: number}
  /** The instance that counts the requests was not reached. */
  | {kind: 'unreachable'; retryAfterMs: number};

export interface LimitGrants {
  /** Requests one grant; never rejects. */
  requestGrant(request: GrantRequest): Promise<GrantDecision>;
  /**
   * Tells the other instances about a limit that a response changed; undefined
   * if it has ended.
   */
  announce(
    server: ServerRun & {service: string},
    requestsPerSecond: number | undefined,
  ): void;
}
