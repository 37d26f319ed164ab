/** Guards against over-admission (P5) and wrongful refusals; limits-fairness_test.ts has the worst-served team. */
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
