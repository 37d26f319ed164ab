/** Every seeded property, for the soak test. */
import {answersRuns} from './answers-run.js';
import {configurationRuns} from './configuration-runs.js';
import {onceRuns} from './once-runs.js';
import type {SeededRun} from './seeds.js';

export const ALL_RUNS: readonly SeededRun[] = [
  ...answersRuns,
  ...onceRuns,
  ...configurationRuns,
];
