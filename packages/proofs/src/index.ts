export {History} from './lib/history.js';
export type {HistoryEvent, HistoryOperation} from './lib/history.js';
export {ciSeeds, runSeeds} from './lib/seeds.js';
export type {SeededRun} from './lib/seeds.js';
export {HealthFleet, SERVICE_NAME, TUNISIA_FLEET} from './lib/health-fleet.js';
export type {HealthFleetOptions} from './lib/health-fleet.js';
export type {SelectorVariant} from './lib/health-fake-instance.js';
export {FakeServer, NO_FAULTS} from './lib/health-fake-server.js';
export type {FakeServerFaults} from './lib/health-fake-server.js';
export * from './lib/health-checkers.js';
export {
  DETECTION_TARGET_MS,
  GRAY_FAULTS,
  HEALTH_DETECTION_RUNS,
  checkDetection,
  checkFlapping,
  measureDetectionMs,
} from './lib/health-detection.js';
export {
  HEALTHY_CONDITIONS,
  HEALTH_FALSE_EJECTION_RUNS,
  checkNoEjection,
} from './lib/health-false-ejections.js';
export type {HealthyCondition} from './lib/health-false-ejections.js';
export {HEALTH_FLOOR_RUN, checkFloor} from './lib/health-floor.js';
export {HEALTH_LEAVING_RUN, checkLeaving} from './lib/health-leaving.js';
