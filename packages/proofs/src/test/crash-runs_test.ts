/**
 * Guards against a fleet that keeps sending a request to servers which go down
 * under it, while instances restart or are cut off, and against one that holds
 * back harmless requests that were on such servers.
 */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {checkCrashes, runCrashes} from '../lib/crash-runs.js';
import type {CrashScenario} from '../lib/crash-runs.js';
import type {CrashDemand} from '../lib/crash-fleet.js';
import {ciSeeds} from '../lib/seeds.js';
import {ALL_ZONE_FAULTS} from '../lib/zone-faults.js';

const SEEDS = ciSeeds(2);

const crashing = (
  target: string,
  requestsPerSecond: number,
  fromMs: number,
): CrashDemand => ({target, requestsPerSecond, crashes: true, fromMs});

const harmless = (requestsPerSecond: number): CrashDemand => ({
  target: `/popular/${requestsPerSecond}`,
  requestsPerSecond,
  crashes: false,
  fromMs: 0,
});

const CALM: CrashScenario = {
  demands: [
    crashing('/crash/often', 10, 3000),
    crashing('/crash/seldom', 1, 5000),
    crashing('/crash/later', 3, 9000),
    harmless(10),
  ],
  faults: [],
  outagesAtMs: [],
};

const SCENARIOS: Record<string, CrashScenario> = {
  'in calm': CALM,
  'while zone leaders restart': {...CALM, faults: ['restart-leaders']},
  'while zone leaders are suspended': {...CALM, faults: ['suspend-leaders']},
  'while zone leaders are cut off': {...CALM, faults: ['cut-off-leaders']},
  'under all faults': {...CALM, faults: ALL_ZONE_FAULTS},
  'while a tenth of the servers goes down': {
    ...CALM,
    faults: ['restart-leaders'],
    outagesAtMs: [6000, 12_000],
  },
};

describe('requests that crash servers', () => {
  for (const [name, scenario] of Object.entries(SCENARIOS)) {
    it(`reach no more than a few servers ${name}`, async () => {
      for (const seed of SEEDS) await checkCrashes(scenario, seed);
    });
  }

  // Guards against trials that every instance makes.
  it('are tried at one server at the end of a hold', async () => {
    const target = '/crash/often';
    const demands = [crashing(target, 20, 1000)];
    const scenario = {...CALM, demands, holdMs: 8000};
    for (const seed of SEEDS) {
      const {lateArrivals} = await checkCrashes(scenario, seed);
      // The hold after it lasts until the end of the run.
      expect(lateArrivals[target]).toEqual(1);
    }
  });

  // A fleet whose instances count by themselves must be caught.
  it('are found in excess if each instance counts alone', async () => {
    const variant = 'each-alone';
    const {violations} = await runCrashes({...CALM, variant}, SEEDS[0]!);
    expect(violations.length).toBeGreaterThanOrEqual(1);
  });
});

describe('harmless requests on servers that go down', () => {
  const outage = (requestsPerSecond: number): CrashScenario => ({
    demands: [harmless(requestsPerSecond)],
    faults: [],
    outagesAtMs: [3000, 6000, 9000, 12_000, 15_000, 18_000],
  });

  for (const requestsPerSecond of [1, 10, 100]) {
    it(`are served at ${requestsPerSecond} a second`, async () => {
      for (const seed of SEEDS) {
        const report = await runCrashes(outage(requestsPerSecond), seed);
        expect(report.refusedAfterClearance).toEqual(0);
        expect(report.harmlessRefused / report.harmless).toBeLessThanOrEqual(
          0.001,
        );
      }
    });
  }

  // A fleet that never clears a request must be caught.
  it('are found refused if no response clears them', async () => {
    const variant = 'no-clearance';
    const scenario = {...outage(100), variant} as const;
    const {refusedAfterClearance} = await runCrashes(scenario, SEEDS[0]!);
    expect(refusedAfterClearance).toBeGreaterThanOrEqual(100);
  });

  // Guards against messages while nothing crashes.
  it('cause no messages beyond the exchange with a new leader', async () => {
    const scenario = {...CALM, demands: [harmless(10)]};
    const {messages} = await runCrashes(scenario, SEEDS[0]!);
    const INSTANCES = 135;
    const LEADERS = 9;
    // Request and response, one exchange of each member and three of a leader.
    expect(messages).toBeLessThanOrEqual(2 * (INSTANCES + 3 * LEADERS));
  });
});
