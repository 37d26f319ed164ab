/** Guards against starving a team while another exceeds its rate. */
import {describe, it} from 'node:test';
import {worstServedTeamIsServed} from '../lib/limits-properties.js';
import {ciSeeds} from '../lib/seeds.js';

describe('limits', () => {
  it(worstServedTeamIsServed.name, async () => {
    for (const seed of ciSeeds(2)) await worstServedTeamIsServed.run(seed);
  });
});
