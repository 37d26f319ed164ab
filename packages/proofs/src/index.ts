export {History} from './lib/history.js';
export type {HistoryEvent, HistoryOperation} from './lib/history.js';
export {ciSeeds, runSeeds} from './lib/seeds.js';
export type {SeededRun} from './lib/seeds.js';
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
