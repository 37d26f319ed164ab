export {History} from './lib/history.js';
export type {HistoryEvent, HistoryOperation} from './lib/history.js';
export {ciSeeds, runSeeds} from './lib/seeds.js';
export type {SeededRun} from './lib/seeds.js';
export {allOnceProperties, onceRun, onceRuns} from './lib/once-runs.js';
