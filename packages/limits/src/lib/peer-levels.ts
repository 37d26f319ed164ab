/**
 * Estimates of the tokens that each peer could lend to one team.
 *
 * A peer's last reported level grows by its share of the rate up to its share
 * of the burst. Estimates only select the peers to query; the lender decides.
 */
import {capacityMicro, microPerMs} from './micro-tokens.js';
import type {TeamRate} from './micro-tokens.js';

interface PeerLevel {
  lendableMicro: number;
  atMs: number;
  /** No requests before this time, after a request failed. */
  avoidUntilMs: number;
}

// A peer that did not respond may have lent tokens that cannot be spent, so it
// is queried again only after about two rounds of failure detection.
const AVOID_AFTER_FAILURE_MS = 1000;

export class PeerLevels {
  private readonly levels = new Map<string, PeerLevel>();

  private constructor(private readonly partsOf: (peerId: string) => number) {}

  /** `partsOf` returns a peer's parts in the ledger as last seen. */
  static create(partsOf: (peerId: string) => number): PeerLevels {
    return new PeerLevels(partsOf);
  }

  recordLevel(peerId: string, lendableMicro: number): void {
    const avoidUntilMs = this.levels.get(peerId)?.avoidUntilMs ?? 0;
    const atMs = performance.now();
    this.levels.set(peerId, {lendableMicro, atMs, avoidUntilMs});
  }

  avoid(peerId: string): void {
    const atMs = performance.now();
    const avoidUntilMs = atMs + AVOID_AFTER_FAILURE_MS;
    this.levels.set(peerId, {lendableMicro: 0, atMs, avoidUntilMs});
  }

  /** Notes that `askedMicro` were requested from the peer. */
  subtractRequested(peerId: string, askedMicro: number, team: TeamRate): void {
    const estimate = this.estimateMicro(peerId, team, performance.now());
    this.recordLevel(peerId, Math.max(0, estimate - askedMicro));
  }

  capacityMicro(peerId: string, team: TeamRate): number {
    return capacityMicro(team, this.partsOf(peerId));
  }

  estimateMicro(peerId: string, team: TeamRate, nowMs: number): number {
    const parts = this.partsOf(peerId);
    const capacity = capacityMicro(team, parts);
    const level = this.levels.get(peerId);
    if (!level) return capacity;
    if (level.avoidUntilMs > nowMs) return 0;
    const grown = (nowMs - level.atMs) * microPerMs(team, parts);
    // A peer whose parts were lowered meanwhile may still hold less.
    return Math.min(
      Math.max(capacity, level.lendableMicro),
      level.lendableMicro + grown,
    );
  }

  retain(peerIds: ReadonlySet<string>): void {
    for (const peerId of this.levels.keys()) {
      if (!peerIds.has(peerId)) this.levels.delete(peerId);
    }
  }
}
