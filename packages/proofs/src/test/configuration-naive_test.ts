/**
 * Guards against checkers that accept everything: each naive variant lacks one
 * rule, and its checker must report the violation together with the seed.
 */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {
  PROPERTIES,
  ciSeeds,
  pollingInstance,
  seededRun,
  unconditionalInstance,
  unfencedInstance,
} from '../index.js';

const {versions, restarts, uniqueVersions, inForce, withdrawals, teams} =
  PROPERTIES;
const SEEDS = 10;

const variants = [
  ['polling without a version check', versions, pollingInstance],
  ['polling without a version check', restarts, pollingInstance],
  ['writes without compare-and-set', uniqueVersions, unconditionalInstance],
  ['changes in force as soon as stored', inForce, pollingInstance],
  ['serving without evidence of freshness', inForce, unfencedInstance],
  ['withdrawals learned only by polling', withdrawals, pollingInstance],
  ['withdrawals without a fence', withdrawals, unfencedInstance],
  ['keys checked by their id alone', teams, pollingInstance],
] as const;

describe('checkers detect', () => {
  for (const [name, property, factory] of variants) {
    it(`${name}: ${property.name}`, async t => {
      for (const seed of ciSeeds(SEEDS)) {
        const message = await captureFailure(
          seededRun(property, {factory}).run(seed),
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
