/**
 * Guards against checkers that accept everything: each naive variant lacks one
 * rule, and its checker must report the violation together with the seed.
 */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {
  CONFIGURATION_PROPERTIES,
  ciSeeds,
  createPollingInstance,
  createConfigurationRun,
  createUnconditionalWriteInstance,
  createUnfencedInstance,
} from '../index.js';

const {versions, restarts, uniqueVersions, inForce, withdrawals, teams} =
  CONFIGURATION_PROPERTIES;
const SEEDS = 10;

const variants = [
  ['polling without a version check', versions, createPollingInstance],
  ['polling without a version check', restarts, createPollingInstance],
  [
    'writes without compare-and-set',
    uniqueVersions,
    createUnconditionalWriteInstance,
  ],
  ['changes in force as soon as stored', inForce, createPollingInstance],
  ['serving without evidence of freshness', inForce, createUnfencedInstance],
  ['withdrawals learned only by polling', withdrawals, createPollingInstance],
  ['withdrawals without a fence', withdrawals, createUnfencedInstance],
  ['keys checked by their id alone', teams, createPollingInstance],
] as const;

describe('checkers detect', () => {
  for (const [name, property, factory] of variants) {
    it(`${name}: ${property.name}`, async t => {
      for (const seed of ciSeeds(SEEDS)) {
        const message = await captureFailure(
          createConfigurationRun(property, {factory}).run(seed),
        );
        if (message === undefined) continue;
        t.diagnostic(message.split('\n').slice(0, 2).join(' '));
        expect(message.includes(`seed: ${seed}`)).toEqual(true);
        return;
      }
      throw new Error(`no violation with ${SEEDS} seeds`);
    });
  }
});

async function captureFailure(run: Promise<void>): Promise<string | undefined> {
  try {
    await run;
    return undefined;
  } catch (error) {
    return (error as Error).message;
  }
}
