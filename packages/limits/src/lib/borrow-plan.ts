/**
 * Plans how much to borrow from which peers: the fullest peers are drawn down
 * to a common level.
 *
 * A full bucket discards the tokens it earns, although the fleet's burst would
 * have room for them. Taking a little from many full buckets keeps all of them
 * refilling.
 */
import {MICRO_PER_TOKEN} from './micro-tokens.js';

export interface LenderCandidate {
  peerId: string;
  /** Estimate of what the peer could lend, based on its last known level. */
  estimateMicro: number;
  /** Capacity of the peer's bucket. */
  capacityMicro: number;
  /** Whether the peer is in another region. */
  remote: boolean;
}

export interface PlannedBorrow {
  peerId: string;
  wantedMicro: number;
}

// Minimum amount that is worth a message: a quarter of a peer's bucket, but at
// least a fiftieth of a token.
const QUANTUM_FRACTION = 0.25;
const MIN_QUANTUM_MICRO = MICRO_PER_TOKEN / 50;
// The jitter keeps instances that know the same levels from all choosing the
// same peer. Peers in the same region are preferred: they respond 16 ms
// earlier.
const SCORE_JITTER = 0.25;
const REMOTE_SCORE_FACTOR = 0.8;

/** Distributes `missingMicro` over the candidates. */
export function planBorrows(
  candidates: readonly LenderCandidate[],
  missingMicro: number,
  random: () => number,
): PlannedBorrow[] {
  const ranked = candidates
    .map(candidate => ({candidate, score: computeScore(candidate, random)}))
    .sort((a, b) => b.score - a.score)
    .map(entry => entry.candidate);
  const chosen = choosePeers(ranked, missingMicro);
  const level = computeCommonLevel(chosen, missingMicro);
  return chosen
    .map(({peerId, estimateMicro}) => ({
      peerId,
      wantedMicro: Math.ceil(estimateMicro - level),
    }))
    .filter(planned => planned.wantedMicro > 0);
}

function computeScore(
  candidate: LenderCandidate,
  random: () => number,
): number {
  const distanceFactor = candidate.remote ? REMOTE_SCORE_FACTOR : 1;
  return (
    candidate.estimateMicro * distanceFactor * (1 - SCORE_JITTER * random())
  );
}

/**
 * Chooses the highest-ranked peers: as many as get at least their quantum each,
 * and more if those hold less than `missingMicro`.
 */
function choosePeers(
  ranked: LenderCandidate[],
  missingMicro: number,
): LenderCandidate[] {
  const chosen: LenderCandidate[] = [];
  let heldMicro = 0;
  let quanta = 0;
  for (const candidate of ranked) {
    const enough = heldMicro >= missingMicro;
    quanta += computeQuantum(candidate);
    if (enough && quanta > missingMicro) break;
    chosen.push(candidate);
    heldMicro += candidate.estimateMicro;
  }
  return chosen;
}

function computeQuantum({capacityMicro}: LenderCandidate): number {
  return Math.max(MIN_QUANTUM_MICRO, capacityMicro * QUANTUM_FRACTION);
}

/**
 * Level to which the chosen peers are drawn down; 0 if they hold too little.
 */
function computeCommonLevel(
  chosen: LenderCandidate[],
  missingMicro: number,
): number {
  const levels = chosen
    .map(candidate => candidate.estimateMicro)
    .sort((a, b) => b - a);
  let sum = 0;
  for (const [index, level] of levels.entries()) {
    sum += level;
    const common = (sum - missingMicro) / (index + 1);
    const next = levels[index + 1] ?? 0;
    if (common >= next) return common;
  }
  return 0;
}
