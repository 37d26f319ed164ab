/**
 * Guards against checkers that find nothing: each naive variant lacks one rule
 * and its violation must be found, with the seed in the message.
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

const {versions, restarts, acceptedOnce, inForce, withdrawals, teams} =
  PROPERTIES;
const SEEDS = 10;

const variants = [
  ['polling without a version check', versions, pollingInstance],
  ['polling without a version check', restarts, pollingInstance],
  ['writes without compare-and-set', acceptedOnce, unconditionalInstance],
  ['in force as soon as stored', inForce, pollingInstance],
  ['serving without evidence of freshness', inForce, unfencedInstance],
  ['withdrawals only by polling', withdrawals, pollingInstance],
  ['withdrawals without a fence', withdrawals, unfencedInstance],
  ['keys known by their id alone', teams, pollingInstance],
] as const;

describe('checkers find', () => {
  for (const [name, property, factory] of variants) {
    it(`${name}: ${property.name}`, async t => {
      for (const seed of ciSeeds(SEEDS)) {
        const message = await failureOf(
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

async function failureOf(run: Promise<void>): Promise<string | undefined> {
  try {
    await run;
    return undefined;
  } catch (error) {
    return (error as Error).message;
  }
}
