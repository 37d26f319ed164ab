/** Command line of `npm run capacity`: prints tables and one line of JSON. */
import sade from 'sade';
import {measureConfigurationCost} from './configuration-cost.js';
import {measureHealthCost} from './health-cost.js';
import type {HealthCost} from './health-cost.js';
import {measureLimitsCost} from './limits-cost.js';
import type {LimitsCost} from './limits-cost.js';
import {measureMessageCosts} from './message-cost.js';
import {measureTakeOver} from './take-over.js';

const CONFIGURATION_SIZES = [1000, 10_000, 100_000];
const TEAM_SIZES = [8, 80, 800];
const HEALTH_SIZES = [
  {targets: 48, peers: 10},
  {targets: 48, peers: 39},
  {targets: 48, peers: 120},
  {targets: 480, peers: 39},
  {targets: 4800, peers: 39},
];
const INSTANCE_SIZES = [8, 40, 200];

export async function runCapacity(argv: string[]): Promise<void> {
  const program = sade('capacity', true)
    .describe('Measures how costs grow with the size of the fleet.')
    .option('--json', 'Print the JSON line only')
    .action(async (flags: {json?: boolean}) => {
      const costs = await measureAll();
      if (!flags.json) {
        for (const [name, rows] of Object.entries(costs)) {
          console.log(name);
          console.table(rows);
        }
      }
      console.log(JSON.stringify(costs));
    });
  await program.parse(argv);
}

async function measureAll() {
  const health: HealthCost[] = [];
  for (const {targets, peers} of HEALTH_SIZES) {
    health.push(await measureHealthCost(targets, peers));
  }
  const limits: LimitsCost[] = [];
  for (const teams of TEAM_SIZES) limits.push(await measureLimitsCost(teams));
  return {
    configuration: CONFIGURATION_SIZES.map(measureConfigurationCost),
    messages: measureMessageCosts(),
    health,
    limits,
    takeOver: INSTANCE_SIZES.flatMap(measureTakeOver),
  };
}
