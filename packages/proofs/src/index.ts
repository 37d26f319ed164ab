export {History} from './lib/history.js';
export type {HistoryEvent, HistoryOperation} from './lib/history.js';
export {ciSeeds, runSeeds} from './lib/seeds.js';
export type {SeededRun} from './lib/seeds.js';
export {ProcessRun} from './lib/process-run.js';
export type {CallAnswer, ProcessRunOptions} from './lib/process-run.js';
export {HealthFleet, SERVICE_NAME, TUNISIA_FLEET} from './lib/health-fleet.js';
export type {HealthFleetOptions} from './lib/health-fleet.js';
export type {SelectorVariant} from './lib/health-fake-instance.js';
export {FakeServer, NO_FAULTS} from './lib/health-fake-server.js';
export type {FakeServerFaults} from './lib/health-fake-server.js';
export * from './lib/health-checkers.js';
export {allOnceProperties, onceRun, onceRuns} from './lib/once-runs.js';
export {ALL_RUNS} from './lib/all-runs.js';
export {runSoak} from './lib/soak.js';
export {
  PROPERTIES,
  configurationRuns,
  runScript,
  seededRun,
} from './lib/configuration-runs.js';
export {
  pollingInstance,
  unconditionalInstance,
  unfencedInstance,
} from './lib/configuration-naive.js';
