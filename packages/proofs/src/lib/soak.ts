/**
 * The soak test: runs every seeded property with new seeds until a given time
 * has passed and prints the seed of each failure.
 */
import sade from 'sade';
import {ALL_RUNS} from './all-runs.js';
import type {SeededRun} from './seeds.js';

interface SoakFlags {
  minutes: string;
  seed?: string;
  only?: string;
}

interface SoakFailure {
  name: string;
  seed: number;
  message: string;
}

const MINUTE_MS = 60_000;
const MAX_SEED = 2 ** 31;

export async function runSoak(argv: string[]): Promise<void> {
  const program = sade('soak', true)
    .describe('Repeat every property with fresh seeds.')
    .option('--minutes', 'How long to run', '10')
    .option('--seed', 'First seed; a random one by default')
    .option('--only', 'Run only properties whose name contains this')
    .example('--minutes 10 --seed 7')
    .action((flags: SoakFlags) => repeatProperties(flags));
  await program.parse(argv);
}

async function repeatProperties(flags: SoakFlags): Promise<void> {
  const firstSeed = Number(flags.seed ?? Math.floor(Math.random() * MAX_SEED));
  const runs = ALL_RUNS.filter(run => run.name.includes(flags.only ?? ''));
  const endAtMs = performance.now() + Number(flags.minutes) * MINUTE_MS;
  const failures: SoakFailure[] = [];
  let count = 0;
  console.error(`soak: ${runs.length} properties from seed ${firstSeed}`);
  for (let seed = firstSeed; performance.now() < endAtMs; seed += 1) {
    for (const run of runs) {
      if (performance.now() >= endAtMs) break;
      const failure = await runOnce(run, seed);
      if (failure) recordFailure(failures, failure);
      count += 1;
    }
    console.error(`soak: seed ${seed} done, ${count} runs`);
  }
  console.log(JSON.stringify({firstSeed, runs: count, failures}));
  process.exitCode = failures.length > 0 ? 1 : 0;
}

async function runOnce(
  run: SeededRun,
  seed: number,
): Promise<SoakFailure | undefined> {
  try {
    await run.run(seed);
    return undefined;
  } catch (error) {
    return {name: run.name, seed, message: String(error)};
  }
}

function recordFailure(failures: SoakFailure[], failure: SoakFailure): void {
  failures.push(failure);
  console.error(`soak: ${failure.name} failed with seed ${failure.seed}`);
  console.error(failure.message);
}
