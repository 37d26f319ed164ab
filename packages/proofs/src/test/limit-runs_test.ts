/**
 * Guards against a fleet that sends a backend server more than the limit it
 * named: no instance sees what the others send, and whoever counts the requests
 * may restart, be cut off or be suspended.
 */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {ORDINARY_DEMAND, checkLimits, runLimits} from '../lib/limit-runs.js';
import type {LimitScenario} from '../lib/limit-runs.js';
import {ciSeeds} from '../lib/seeds.js';

const SEEDS = ciSeeds(3);

const limitOf = (requestsPerSecond: number | undefined, fromMs = 2000) => ({
  fromMs,
  requestsPerSecond,
});

const CALM: LimitScenario = {
  limited: [[limitOf(1)], [limitOf(1.1)], [limitOf(3)]],
  unlimitedServers: 9,
  demands: [ORDINARY_DEMAND],
  faults: [],
};

const SCENARIOS: Record<string, LimitScenario> = {
  'in calm': CALM,
  'while instances restart': {...CALM, faults: ['restart-instances']},
  'while instances are suspended': {...CALM, faults: ['suspend-instances']},
  'while zone leaders restart': {...CALM, faults: ['restart-leaders']},
  'while zone leaders are suspended': {...CALM, faults: ['suspend-leaders']},
  'while zone leaders are cut off': {...CALM, faults: ['cut-off-leaders']},
  'under all faults': {
    ...CALM,
    faults: [
      'restart-leaders',
      'suspend-leaders',
      'cut-off-leaders',
      'restart-instances',
      'suspend-instances',
    ],
  },
  'when limits fall, rise, end and begin again': {
    ...CALM,
    limited: [
      [limitOf(8), limitOf(1, 8000), limitOf(6, 14_000)],
      [limitOf(2), limitOf(undefined, 8000), limitOf(1, 13_000)],
      [limitOf(20), limitOf(2, 9000)],
    ],
    faults: ['restart-leaders'],
  },
  'when every server is limited below the demand': {
    ...CALM,
    limited: Array.from({length: 12}, () => [limitOf(1)]),
    unlimitedServers: 0,
    faults: ['restart-leaders', 'suspend-instances'],
  },
};

describe('limits that backend servers name', () => {
  for (const [name, scenario] of Object.entries(SCENARIOS)) {
    it(`are kept by the whole fleet ${name}`, async () => {
      for (const seed of SEEDS) await checkLimits(scenario, seed);
    });
  }

  // Guards against a limited server that nobody uses any more.
  it('are used up while the other servers take the rest', async () => {
    const {usedShare, requests} = await runLimits(CALM, SEEDS[0]!);
    expect(usedShare).toBeGreaterThanOrEqual(0.7);
    expect(requests.filter(({served}) => !served)).toEqual([]);
  });

  // A fleet whose instances keep the limit one by one must be caught.
  it('are found violated if each instance keeps them alone', async () => {
    const variant = 'each-alone';
    const {violations} = await runLimits({...CALM, variant}, SEEDS[0]!);
    expect(violations.length).toBeGreaterThanOrEqual(1);
  });
});

describe('a service whose servers are all limited', () => {
  const scarce = (demands: LimitScenario['demands']): LimitScenario => ({
    limited: Array.from({length: 6}, () => [limitOf(2)]),
    unlimitedServers: 0,
    demands,
    faults: [],
  });
  const FROM_MS = 8000;

  async function run(demands: LimitScenario['demands']) {
    const {requests, ...report} = await runLimits(scarce(demands), SEEDS[0]!);
    const startedAtMs = requests[0]!.sentAtMs;
    const settled = requests.filter(
      ({sentAtMs}) => sentAtMs - startedAtMs >= FROM_MS,
    );
    const servedShare = (matches: (item: (typeof requests)[0]) => boolean) => {
      const matching = settled.filter(matches);
      return matching.filter(({served}) => served).length / matching.length;
    };
    return {...report, requests: settled, servedShare};
  }

  // Guards against requests that wait for room until their deadline passes.
  it('refuses the excess at once and says when there is room', async () => {
    const {requests, usedShare} = await run([ORDINARY_DEMAND]);
    const refused = requests.filter(({served}) => !served);
    expect(refused.length).toBeGreaterThanOrEqual(100);
    for (const {decidedAfterMs, retryAfterMs} of refused) {
      expect(decidedAfterMs).toBeLessThanOrEqual(120);
      expect(retryAfterMs! >= 50 && retryAfterMs! <= 3000).toEqual(true);
    }
    expect(usedShare).toBeGreaterThanOrEqual(0.85);
  });

  // Guards against one team that takes the room of all others.
  it('serves a team that asks for less than its part', async () => {
    const rank = 1;
    const {servedShare} = await run([
      {team: 'flood', rank, requestsPerSecond: 60},
      {team: 'small', rank, requestsPerSecond: 2},
      {team: 'other', rank, requestsPerSecond: 3},
    ]);
    expect(servedShare(({team}) => team === 'small')).toBeGreaterThanOrEqual(
      0.9,
    );
    expect(servedShare(({team}) => team === 'other')).toBeGreaterThanOrEqual(
      0.9,
    );
  });

  // Guards against important requests that are refused for less important ones.
  it('serves important requests first', async () => {
    const team = 'north';
    const {servedShare} = await run([
      {team, rank: 3, requestsPerSecond: 40},
      {team, rank: 0, requestsPerSecond: 6},
    ]);
    expect(servedShare(({rank}) => rank === 0)).toBeGreaterThanOrEqual(0.9);
  });
});
