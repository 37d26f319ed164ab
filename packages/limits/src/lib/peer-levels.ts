/**
 * Estimates of the tokens that each peer could lend to one team.
 *
 * A peer's last reported level grows by its share of the rate up to its share
 * of the burst. Estimates only select the peers to query; the lender decides.
 */
import {computeCapacityMicro, computeMicroPerMs} from './micro-tokens.js';
import type {TeamRate} from './micro-tokens.js';

interface PeerLevel {
  lendableMicro: number;
  atMs: number;
  /** The peer is not queried before this time, because a request failed. */
  avoidUntilMs: number;
}

// A peer that did not respond may have lent tokens that the borrower cannot
// spend, so it is queried again only after about two rounds of failure
// detection.
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

  /**
   * Lowers the peer's estimate by `requestedMicro`, which were requested from
   * it.
   */
  subtractRequested(
    peerId: string,
    requestedMicro: number,
    team: TeamRate,
  ): void {
    const estimate = this.estimateMicro(peerId, team, performance.now());
    this.recordLevel(peerId, Math.max(0, estimate - requestedMicro));
  }

  capacityMicro(peerId: string, team: TeamRate): number {
    return computeCapacityMicro(team, this.partsOf(peerId));
  }

  estimateMicro(peerId: string, team: TeamRate, nowMs: number): number {
    const parts = this.partsOf(peerId);
    const capacity = computeCapacityMicro(team, parts);
    const level = this.levels.get(peerId);
    if (!level) return capacity;
    if (level.avoidUntilMs > nowMs) return 0;
    const earned = (nowMs - level.atMs) * computeMicroPerMs(team, parts);
    // A reported level above the capacity is kept: the peer's parts may have
    // been lowered since, and it may by now hold less.
    return Math.min(
      Math.max(capacity, level.lendableMicro),
      level.lendableMicro + earned,
    );
  }

  retain(peerIds: ReadonlySet<string>): void {
    for (const peerId of this.levels.keys()) {
      if (!peerIds.has(peerId)) this.levels.delete(peerId);
    }
  }
}
