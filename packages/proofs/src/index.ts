export {History} from './lib/history.js';
export type {HistoryEvent, HistoryOperation} from './lib/history.js';
export {ciSeeds, runSeeds} from './lib/seeds.js';
export type {SeededRun} from './lib/seeds.js';
export {ProcessHarness} from './lib/process-harness.js';
export type {
  CallResponse,
  ProcessHarnessOptions,
} from './lib/process-harness.js';
export {HealthFleet, SERVICE_NAME, TUNISIA_FLEET} from './lib/health-fleet.js';
export type {HealthFleetOptions} from './lib/health-fleet.js';
export type {SelectorVariant} from './lib/health-fake-instance.js';
export {FakeServer, NO_FAULTS} from './lib/health-fake-server.js';
export type {FakeServerFaults} from './lib/health-fake-server.js';
export * from './lib/health-checkers.js';
export {combinedOnceRun, createOnceRun, onceRuns} from './lib/once-runs.js';
export {ALL_RUNS} from './lib/all-runs.js';
export {runSoak} from './lib/soak.js';
export {
  CONFIGURATION_PROPERTIES,
  configurationRuns,
  runConfigurationScript,
  createConfigurationRun,
} from './lib/configuration-runs.js';
export {
  createPollingInstance,
  createUnconditionalWriteInstance,
  createUnfencedInstance,
} from './lib/configuration-naive.js';
export {LIMITS_PROPERTIES} from './lib/limits-properties.js';
export {
  IdealBucket,
  checkWithinLimits,
  countAdmissions,
} from './lib/limits-checker.js';
export type {AdmissionCounts} from './lib/limits-checker.js';
export {ALL_FAULT_KINDS, scheduleFaults} from './lib/limits-faults.js';
export type {FaultKind} from './lib/limits-faults.js';
export {measureWorstServedFraction} from './lib/limits-fairness.js';
export {LimitsFleet} from './lib/limits-fleet.js';
export type {
  FleetInstance,
  FleetLimiter,
  LimiterContext,
  LimitsFleetOptions,
} from './lib/limits-fleet.js';
export {scheduleArrivals} from './lib/limits-load.js';
export {runSafety} from './lib/limits-safety.js';
export {runInRateLoad, wrongfulRefusalFraction} from './lib/limits-service.js';
export type {InRateRunOptions} from './lib/limits-service.js';
export type {TeamLimits} from './lib/mutable-configuration.js';
export {SimulatedClock} from './lib/simulated-clock.js';
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
export {HEALTH_DRAINING_RUN, checkDraining} from './lib/health-draining.js';
