/** Computes the figures of section 1.2 of the design page from the runs. */
import type {RunResult} from '../fleet/fleet-run.js';

export interface ScenarioFigures {
  /**
   * Null if the scenario has no faulty server. An undetected fault counts as
   * detected at the end of the run, which understates its detection time.
   */
  detectP50Ms: number | null;
  detectP99Ms: number | null;
  /** Faulty servers that still received traffic at the end of the run. */
  undetected: number;
  dispatchesAfterDetection: number;
  falseEjections: number;
  worstTeamServedRatio: number;
  wrongfulRefusals: number;
  overAdmittedTokens: number;
  failedRequests: number;
  addedP99Ms: number;
}

/**
 * Merges the runs of several seeds: counts are summed; ratios, over-admitted
 * tokens and added latency are those of the worst seed.
 */
export function summarizeRuns(runs: readonly RunResult[]): ScenarioFigures {
  const times = runs.flatMap(run => run.detectionTimesMs).sort((a, b) => a - b);
  return {
    detectP50Ms: percentile(times, 0.5),
    detectP99Ms: percentile(times, 0.99),
    undetected: sum(runs.map(run => run.undetected)),
    dispatchesAfterDetection: sum(
      runs.map(run => run.dispatchesAfterDetection),
    ),
    falseEjections: sum(runs.map(run => run.falseEjections)),
    worstTeamServedRatio: Math.min(...runs.map(worstServedRatio)),
    wrongfulRefusals: Math.max(...runs.map(wrongfulRefusalRatio)),
    overAdmittedTokens: Math.max(...runs.map(maxOverAdmittedTokens)),
    failedRequests: sum(runs.map(run => run.failedRequests)),
    addedP99Ms: Math.max(...runs.map(run => run.addedP99Ms)),
  };
}

function worstServedRatio(run: RunResult): number {
  const ratios = [...run.teams.values()]
    .filter(team => team.inRate > 0)
    .map(team => Math.min(1, team.served / team.inRate));
  return Math.min(...ratios);
}

/**
 * Share of the in-rate requests that were wrongfully refused.
 *
 * For a team within its rate, each refusal of a request that the ideal bucket
 * admits counts. A team over its rate is refused some requests in any case, and
 * it doesn't matter which; only the shortfall of its admitted requests against
 * the ideal bucket counts.
 */
function wrongfulRefusalRatio(run: RunResult): number {
  let refused = 0;
  let inRate = 0;
  for (const team of run.teams.values()) {
    inRate += team.inRate;
    const overRate = team.offered > team.inRate;
    const shortfall = Math.max(0, team.inRate - team.admitted);
    refused += overRate ? shortfall : team.refusedInRate;
  }
  return inRate === 0 ? 0 : refused / inRate;
}

function maxOverAdmittedTokens(run: RunResult): number {
  const teams = [...run.teams.values()];
  return Math.max(...teams.map(team => team.overAdmittedTokens));
}

function percentile(
  sorted: readonly number[],
  fraction: number,
): number | null {
  if (sorted.length === 0) return null;
  return sorted[Math.ceil(sorted.length * fraction) - 1]!;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
