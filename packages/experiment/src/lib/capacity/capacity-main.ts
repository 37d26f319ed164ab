/** Command line of `npm run capacity`: slopes as tables and one JSON line. */
import sade from 'sade';
import {measureConfigurationCost} from './configuration-slope.js';
import {measureHealthCost} from './health-slope.js';
import type {HealthCost} from './health-slope.js';
import {measureLimitsCost} from './limits-slope.js';
import type {LimitsCost} from './limits-slope.js';
import {measureMessageCosts} from './message-slope.js';
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
    .describe('Measures how costs grow with the sizes of the fleet.')
    .option('--json', 'Print only one JSON object')
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
