/**
 * How much to ask of which peers: from the fullest down to a common level.
 *
 * A bucket that stays full earns nothing, while the fleet's bucket as a whole
 * would. Taking a little from many full buckets keeps them all earning.
 */
import {MICRO_PER_TOKEN} from './micro-tokens.js';

export interface Candidate {
  peerId: string;
  /** What the peer could lend, by the last known level. */
  estimateMicro: number;
  /** What the peer's bucket holds when it is full. */
  capacityMicro: number;
  /** Whether its answer takes a round trip between regions. */
  remote: boolean;
}

export interface Ask {
  peerId: string;
  wantedMicro: number;
}

// The least that is worth a message: a quarter of a peer's bucket, but never
// less than a fiftieth of a token.
const QUANTUM_FRACTION = 0.25;
const MIN_QUANTUM_MICRO = MICRO_PER_TOKEN / 50;
// Instances that saw the same levels would all ask the same peer first; and a
// near peer with a little less answers 16 ms earlier.
const SPREAD = 0.25;
const REMOTE_FACTOR = 0.8;

/** Splits `missingMicro` over the candidates. */
export function planAsks(
  candidates: readonly Candidate[],
  missingMicro: number,
  random: () => number,
): Ask[] {
  const ranked = candidates
    .map(candidate => ({candidate, score: scoreOf(candidate, random)}))
    .sort((a, b) => b.score - a.score)
    .map(entry => entry.candidate);
  const chosen = choosePeers(ranked, missingMicro);
  const level = commonLevel(chosen, missingMicro);
  return chosen
    .map(({peerId, estimateMicro}) => ({
      peerId,
      wantedMicro: Math.ceil(estimateMicro - level),
    }))
    .filter(ask => ask.wantedMicro > 0);
}

function scoreOf(candidate: Candidate, random: () => number): number {
  const near = candidate.remote ? REMOTE_FACTOR : 1;
  return candidate.estimateMicro * near * (1 - SPREAD * random());
}

/** The best peers: as many as the quantum allows, more if they hold less. */
function choosePeers(ranked: Candidate[], missingMicro: number): Candidate[] {
  const chosen: Candidate[] = [];
  let heldMicro = 0;
  let quanta = 0;
  for (const candidate of ranked) {
    const enough = heldMicro >= missingMicro;
    quanta += quantumOf(candidate);
    if (enough && quanta > missingMicro) break;
    chosen.push(candidate);
    heldMicro += candidate.estimateMicro;
  }
  return chosen;
}

function quantumOf({capacityMicro}: Candidate): number {
  return Math.max(MIN_QUANTUM_MICRO, capacityMicro * QUANTUM_FRACTION);
}

/** Level to which the chosen peers are drawn down; 0 if they hold too little. */
function commonLevel(chosen: Candidate[], missingMicro: number): number {
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
