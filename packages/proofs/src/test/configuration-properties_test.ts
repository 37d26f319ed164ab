/**
 * Guards P2, P4 and P11 under concurrent changes, lost responses, outages,
 * partitions, pauses and restarts.
 */
import {describe, it} from 'node:test';
import {
  CONFIGURATION_PROPERTIES,
  ciSeeds,
  createConfigurationRun,
} from '../index.js';

const {longOutage, fullFleet, ...smallFleets} = CONFIGURATION_PROPERTIES;

describe('configuration distribution of a fleet', () => {
  for (const property of Object.values(smallFleets)) {
    for (const seed of ciSeeds(2)) {
      it(`${property.name}, seed ${seed}`, () =>
        createConfigurationRun(property).run(seed));
    }
  }

  for (const property of [fullFleet, longOutage]) {
    const [seed] = ciSeeds(1);
    it(`${property.name}, seed ${seed}`, () =>
      createConfigurationRun(property, {runsPerSeed: 1}).run(seed!));
  }
});
