/**
 * Guards P2, P4 and P11 under concurrent changes, lost responses, outages,
 * partitions, pauses and restarts.
 */
import {describe, it} from 'node:test';
import {PROPERTIES, ciSeeds, seededRun} from '../index.js';

const {longOutage, fullFleet, ...smallFleets} = PROPERTIES;

describe('configuration distribution of a fleet', () => {
  for (const property of Object.values(smallFleets)) {
    for (const seed of ciSeeds(2)) {
      it(`${property.name}, seed ${seed}`, () => seededRun(property).run(seed));
    }
  }

  for (const property of [fullFleet, longOutage]) {
    const [seed] = ciSeeds(1);
    it(`${property.name}, seed ${seed}`, () =>
      seededRun(property, {runsPerSeed: 1}).run(seed!));
  }
});
