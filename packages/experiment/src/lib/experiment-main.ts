/** Command line of `npm run experiment`. */
import sade from 'sade';
import {DEPLOYMENTS} from './fleet/deployment.js';
import type {Deployment} from './fleet/deployment.js';
import {FleetRun} from './fleet/fleet-run.js';
import type {RunResult} from './fleet/fleet-run.js';
import {FLEETS} from './fleet/fleets.js';
import type {FleetVariant} from './fleet/fleet-variant.js';
import {SCENARIOS} from './scenario/scenario.js';
import {summarizeRuns} from './scenario/scenario-report.js';
import type {ScenarioFigures} from './scenario/scenario-report.js';
import {measurePathSpeed} from './speed/path-speed.js';

interface ExperimentFlags {
  list?: boolean;
  scenario?: string;
  deployment: string;
  seed: string;
  seeds: string;
  rounds: string;
  json?: boolean;
}

interface ExperimentReport extends ScenarioFigures {
  scenario: string;
  deployment: string;
  seed: number;
  seeds: number;
  /** Variant of the decision modules in the measured fleet. */
  fleet: FleetVariant['name'];
  baseline: ScenarioFigures;
}

const EXIT_USAGE = 2;
const PATH_SPEED = 'path-speed';
const SPEED_PHASE_MS = 3000;
const PROGRESS_INTERVAL_SECONDS = 10;

export async function runExperiment(argv: string[]): Promise<void> {
  const program = sade('experiment', true)
    .describe(
      'Runs a scenario with this fleet and with the naive baseline fleet.',
    )
    .option('--list', 'List the scenario names')
    .option('--scenario', 'Name of the scenario to run')
    .option('--deployment', 'tunisia or lariana', 'tunisia')
    .option('--seed', 'First seed', '1')
    .option('--seeds', 'Number of consecutive seeds to run', '1')
    .option('--rounds', 'Rounds of path-speed, each over all forwarders', '3')
    .option('--json', 'Print one JSON object instead of a table')
    .action((flags: ExperimentFlags) => runCommand(flags));
  await program.parse(argv);
}

async function runCommand(flags: ExperimentFlags): Promise<void> {
  const names = [...Object.keys(SCENARIOS), PATH_SPEED];
  if (flags.list) {
    console.log(names.join('\n'));
    return;
  }
  const deployment = DEPLOYMENTS[flags.deployment as Deployment['name']];
  if (!deployment)
    return reportUsageError('--deployment must be tunisia or lariana');
  const seed = Number(flags.seed);
  const seeds = Number(flags.seeds);
  if (!Number.isSafeInteger(seed) || !(Number.isInteger(seeds) && seeds > 0)) {
    return reportUsageError(
      '--seed must be an integer and --seeds a positive integer',
    );
  }
  const scenario = flags.scenario ?? '';
  if (!names.includes(scenario)) {
    return reportUsageError(`--scenario must be one of ${names.join(', ')}`);
  }
  if (scenario === PATH_SPEED) return reportPathSpeed(flags);
  const report = await compareFleets(scenario, deployment, seed, seeds);
  if (flags.json) console.log(JSON.stringify(report));
  else printTable(report);
}

async function reportPathSpeed(flags: ExperimentFlags): Promise<void> {
  const rounds = Math.max(1, Number(flags.rounds));
  const report = await measurePathSpeed({rounds, phaseMs: SPEED_PHASE_MS});
  if (flags.json) {
    console.log(JSON.stringify({...report, seed: Number(flags.seed)}));
    return;
  }
  console.table(report.forwarders);
  const {throughputRatio, addedP99Ms, baseline} = report;
  console.log(JSON.stringify({throughputRatio, addedP99Ms, baseline}));
}

async function compareFleets(
  scenario: string,
  deployment: Deployment,
  seed: number,
  seeds: number,
): Promise<ExperimentReport> {
  const runVariant = (variant: FleetVariant) =>
    runSeeds(scenario, deployment, variant, seed, seeds);
  const measured = await runVariant(FLEETS.measured);
  const baseline = await runVariant(FLEETS.baseline);
  const fleet = FLEETS.measured.name;
  const header = {scenario, deployment: deployment.name, seed, seeds, fleet};
  return {...header, ...measured, baseline};
}

async function runSeeds(
  scenario: string,
  deployment: Deployment,
  variant: FleetVariant,
  firstSeed: number,
  seeds: number,
): Promise<ScenarioFigures> {
  const runs: RunResult[] = [];
  for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
    const onSecond = (seconds: number) => {
      if (seconds % PROGRESS_INTERVAL_SECONDS !== 0) return;
      console.error(`${scenario} ${variant.name} seed ${seed}: ${seconds} s`);
    };
    const options = {deployment, variant, seed, onSecond};
    runs.push(await FleetRun.run(options, SCENARIOS[scenario]!));
  }
  return summarizeRuns(runs);
}

function printTable(report: ExperimentReport): void {
  const {baseline, scenario, deployment, seed, seeds, fleet, ...figures} =
    report;
  console.log(
    `${scenario}, ${deployment}, seeds ${seed} to ${seed + seeds - 1}`,
  );
  console.table({[fleet]: figures, 'naive (baseline)': baseline});
}

function reportUsageError(message: string): void {
  console.error(message);
  process.exitCode = EXIT_USAGE;
}
