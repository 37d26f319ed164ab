export {History} from './lib/history.js';
export type {HistoryEvent, HistoryOperation} from './lib/history.js';
export {ciSeeds, runSeeds} from './lib/seeds.js';
export type {SeededRun} from './lib/seeds.js';
export {LIMITS_PROPERTIES} from './lib/limits-properties.js';
export {
  IdealBucket,
  checkWithinLimits,
  countService,
} from './lib/limits-checker.js';
export type {ServiceCounts} from './lib/limits-checker.js';
export {ALL_FAULTS, scheduleFaults} from './lib/limits-faults.js';
export type {FaultKind} from './lib/limits-faults.js';
export {runFairness} from './lib/limits-fairness.js';
export {LimitsFleet} from './lib/limits-fleet.js';
export type {
  FleetInstance,
  FleetLimiter,
  LimiterContext,
  LimitsFleetOptions,
} from './lib/limits-fleet.js';
export {offerLoad} from './lib/limits-load.js';
export {runSafety} from './lib/limits-safety.js';
export {runService, wrongfulFraction} from './lib/limits-service.js';
export type {ServiceRunOptions} from './lib/limits-service.js';
export type {TeamLimits} from './lib/mutable-configuration.js';
export {SimulatedClock} from './lib/simulated-clock.js';
