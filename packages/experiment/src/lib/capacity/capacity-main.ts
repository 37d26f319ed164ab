/** Command line of `npm run capacity`: slopes as tables and one JSON line. */
import sade from 'sade';
import {measureConfiguration} from './configuration-slope.js';
import {measureHealth} from './health-slope.js';
import type {HealthSlope} from './health-slope.js';
import {measureLimits} from './limits-slope.js';
import type {LimitsSlope} from './limits-slope.js';
import {measureMessages} from './message-slope.js';
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
      const slopes = await measureAll();
      if (!flags.json) {
        for (const [name, rows] of Object.entries(slopes)) {
          console.log(name);
          console.table(rows);
        }
      }
      console.log(JSON.stringify(slopes));
    });
  await program.parse(argv);
}

async function measureAll() {
  const health: HealthSlope[] = [];
  for (const {targets, peers} of HEALTH_SIZES) {
    health.push(await measureHealth(targets, peers));
  }
  const limits: LimitsSlope[] = [];
  for (const teams of TEAM_SIZES) limits.push(await measureLimits(teams));
  return {
    configuration: CONFIGURATION_SIZES.map(measureConfiguration),
    messages: measureMessages(),
    health,
    limits,
    takeOver: INSTANCE_SIZES.flatMap(measureTakeOver),
  };
}
