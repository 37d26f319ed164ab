/** Every seeded property, for the soak test. */
import {onceRuns} from './once-runs.js';
import type {SeededRun} from './seeds.js';

export const ALL_RUNS: readonly SeededRun[] = [...onceRuns];
