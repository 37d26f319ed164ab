/** All seeded properties, as the soak test runs them. */
import {responsesRuns} from './responses-run.js';
import {configurationRuns} from './configuration-runs.js';
import {HEALTH_DETECTION_RUNS} from './health-detection.js';
import {HEALTH_FALSE_EJECTION_RUNS} from './health-false-ejections.js';
import {HEALTH_FLOOR_RUN} from './health-floor.js';
import {HEALTH_DRAINING_RUN} from './health-draining.js';
import {LIMITS_PROPERTIES} from './limits-properties.js';
import {onceRuns} from './once-runs.js';
import type {SeededRun} from './seeds.js';

export const ALL_RUNS: readonly SeededRun[] = [
  ...responsesRuns,
  ...onceRuns,
  ...configurationRuns,
  ...LIMITS_PROPERTIES,
  HEALTH_FLOOR_RUN,
  HEALTH_DRAINING_RUN,
  ...HEALTH_DETECTION_RUNS,
  ...HEALTH_FALSE_EJECTION_RUNS,
];
