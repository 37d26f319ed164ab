/** Guards against over-admission and wrongful refusals (P5); the worst-served team has its own file. */
import {describe, it} from 'node:test';
import {
  LIMITS_PROPERTIES,
  worstServedTeamIsServed,
} from '../lib/limits-properties.js';
import {ciSeeds} from '../lib/seeds.js';

describe('limits', () => {
  for (const property of LIMITS_PROPERTIES) {
    if (property === worstServedTeamIsServed) continue;
    it(property.name, async () => {
      for (const seed of ciSeeds(2)) await property.run(seed);
    });
  }
});
